/* Stand-in of everything around instances with the policy cookie; see
   world.h.  Prints one line of JSON; the exit status is 0 only if every
   promise was kept. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/standin/objects_form.h"
#include "share/log.h"
#include "share/udp.h"
#include "standins/world.h"

#define POLL_MS 2
#define SERVERS_A_SERVICE 5
#define QUIET_START (3 * GBD_SECOND) /* before the first fault */
#define QUIET_END (14 * GBD_SECOND)  /* recovery, then what is judged */

typedef struct
{
  int port;
  char *platform;
  char *pids;
  char *form;
  char *only;
  char *series;
  int instances;
  int seconds;
  int seed;
  gboolean is_calm;
  gboolean is_planned;
} options_t;

static const world_form_t *find_form (const char *name);
static bool parse_options (options_t *options, int argc, char **argv);
static bool start (world_t *world, const options_t *options);
static void run (world_t *world);
static void turn (world_t *world, gbd_time_t now);
static int report (world_t *world, const options_t *options);

int
main (int argc, char **argv)
{
  options_t options = { .port = 21000,
                        .platform = g_strdup ("127.0.0.1:8500"),
                        .pids = g_strdup ("."),
                        .form = g_strdup ("own"),
                        .instances = 6,
                        .seconds = 30,
                        .seed = 1 };
  static world_t world;
  int result = EXIT_FAILURE;
  gbd_log_set_program ("standin-world");
  if (parse_options (&options, argc, argv) && start (&world, &options))
    {
      run (&world);
      world_series_close (&world);
      result = report (&world, &options);
    }
  g_free (options.platform);
  g_free (options.pids);
  g_free (options.form);
  g_free (options.only);
  g_free (options.series);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &options->port,
      "port of callers, instances, proxies and servers", "PORT" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
      "address of the platform's stand-in", "IP:PORT" },
    { "pids", 0, 0, G_OPTION_ARG_STRING, &options->pids,
      "folder with the instances' process numbers, as 1.pid", "FOLDER" },
    { "form", 0, 0, G_OPTION_ARG_STRING, &options->form,
      "own or objects: how entries and routes are written", "FORM" },
    { "instances", 0, 0, G_OPTION_ARG_INT, &options->instances, "1 to 100",
      "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &options->seconds,
      "how long faults come", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "of all that varies",
      "N" },
    { "only", 0, 0, G_OPTION_ARG_STRING, &options->only,
      "names of the faults that come, with commas between", "NAMES" },
    { "series", 0, 0, G_OPTION_ARG_FILENAME, &options->series,
      "write what callers saw in each second", "FILE" },
    { "calm", 0, 0, G_OPTION_ARG_NONE, &options->is_calm, "no faults", NULL },
    { "planned", 0, 0, G_OPTION_ARG_NONE, &options->is_planned,
      "planned work alone; then no request may fail", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_good = g_option_context_parse (context, &argc, &argv, &error)
                 && options->instances > 0
                 && options->instances <= WORLD_INSTANCES_MAX
                 && options->seconds >= 0 && find_form (options->form);
  if (!is_good)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "world",
             error ? error->message : "a number or form is out of range");
  g_clear_error (&error);
  g_option_context_free (context);
  return is_good;
}

static const world_form_t *
find_form (const char *name)
{
  if (strcmp (name, world_form_own.name) == 0)
    return &world_form_own;
  return strcmp (name, world_form_objects.name) == 0 ? &world_form_objects
                                                     : NULL;
}

static bool
start (world_t *world, const options_t *options)
{
  gbd_time_t now = g_get_monotonic_time ();
  world->port = (uint16_t)options->port;
  world->form = find_form (options->form);
  world->instance_count = (uint32_t)options->instances;
  world->random = g_rand_new_with_seed ((guint32)options->seed);
  world->delayed = delay_queue_new ();
  world->runs = g_hash_table_new (NULL, NULL);
  world->unsafe = g_hash_table_new (NULL, NULL);
  world->started_at = now;
  world->has_faults = !options->is_calm;
  world->is_planned = options->is_planned;
  world->only = options->only ? g_strsplit (options->only, ",", 0) : NULL;
  world->next_fault_at = now + QUIET_START;
  world->faults_end_at = now + QUIET_START + options->seconds * GBD_SECOND;
  world->ends_at = world->faults_end_at + QUIET_END;
  const char *failed = "give names of faults and a file that can be written";
  if ((world->only && !world_faults_are_known (world->only))
      || !world_series_open (world, options->series))
    goto fail;
  failed = "addresses cannot be bound; choose another --port";
  if (gbd_address_parse (options->platform, &world->platform) != GBD_OK
      || !world_callers_start (world)
      || !world_fabric_start (world, options->pids)
      || !world_proxies_start (world))
    goto fail;
  failed = "the platform's stand-in does not take objects";
  if (!world_routes_write (world, now))
    goto fail;
  for (uint32_t i = 0; i < 2 * SERVERS_A_SERVICE; i++)
    {
      if (!world_server_add (world, i % 2, now))
        goto fail;
    }
  return true;

fail:
  gbd_log (GBD_EVENT_STANDIN_FAILED, "world", failed);
  return false;
}

static void
run (world_t *world)
{
  gbd_time_t now = g_get_monotonic_time ();
  while (now < world->ends_at)
    {
      turn (world, now);
      now = g_get_monotonic_time ();
    }
}

static void
turn (world_t *world, gbd_time_t now)
{
  world->polled_count = 0;
  world_callers_poll (world);
  world_servers_poll (world);
  world_proxies_poll (world);
  world_fabric_poll (world, now);
  poll (world->polled, world->polled_count, POLL_MS);
  now = g_get_monotonic_time ();
  for (uint32_t i = 0; i < world->polled_count; i++)
    {
      if (world->polled[i].revents)
        world->handlers[i](world, world->polled[i].fd, world->indexes[i], now);
    }
  delayed_t *datagram;
  while ((datagram = delay_queue_take (world->delayed, now)))
    {
      struct sockaddr_storage name;
      socklen_t length = gbd_udp_to_sockaddr (&datagram->to, &name);
      sendto (world->caller_fds[0], datagram->bytes, datagram->length,
              MSG_DONTWAIT, (const struct sockaddr *)&name, length);
      g_free (datagram);
    }
  world_faults_tick (world, now);
  world_servers_tick (world, now);
  world_proxies_tick (world, now);
  world_callers_tick (world, now);
  world_series_tick (world, now);
}

static int
report (world_t *world, const options_t *options)
{
  gbd_time_t now = g_get_monotonic_time ();
  double share = world->late_asked
                     ? (double)world->late_served / (double)world->late_asked
                     : 0;
  if (share < WORLD_SERVED_SHARE)
    world_breach (world, WORLD_NOT_RECOVERED, now,
                  "%" PRIu64 " of %" PRIu64 " served after the faults",
                  world->late_served, world->late_asked);
  if ((world->is_planned || !world->has_faults) && world->failed > 0)
    world_breach (world, WORLD_PLANNED_LOSS, now, "%" PRIu64 " requests",
                  world->failed);
  uint64_t broken = 0;
  printf ("{\"seed\":%d,\"asked\":%" PRIu64 ",\"served\":%" PRIu64
          ",\"failed\":%" PRIu64 ",\"served_after_faults\":%.4f",
          options->seed, world->asked, world->served, world->failed, share);
  for (int i = 0; i < WORLD_BREACH_COUNT; i++)
    {
      printf (",\"%s\":%" PRIu64, world_breach_strings[i], world->breaches[i]);
      broken += world->breaches[i];
    }
  printf ("}\n");
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
