/* Simulated environment of instances with the policy cookie; see world.h.
   Prints the results as one line of JSON; the exit status is 0 only if no
   guarantee was violated. */
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
#define SERVERS_PER_SERVICE 5
#define STARTUP_PERIOD (3 * GBD_SECOND) /* time before the first fault */
/* Time after the last fault.  The first WORLD_RECOVERY_LIMIT of it is for the
   recovery; of the requests that begin later, WORLD_SERVED_SHARE_MIN must be
   served. */
#define RECOVERY_PERIOD (14 * GBD_SECOND)

typedef struct
{
  int port;
  char *platform;
  char *pids;
  char *object_format;
  char *fault_names;
  char *series;
  char *additions;
  int instances;
  int seconds;
  int seed;
  gboolean is_calm;
  gboolean is_planned;
} options_t;

static const world_object_format_t *find_object_format (const char *name);
static bool has_addition (const options_t *options, const char *name);
static bool parse_options (options_t *options, int argc, char **argv);
static bool start (world_t *world, const options_t *options);
static void run (world_t *world);
static void poll_once (world_t *world, gbd_time_t now);
static int report (world_t *world, const options_t *options);

int
main (int argc, char **argv)
{
  options_t options = { .port = 21000,
                        .platform = g_strdup ("127.0.0.1:8500"),
                        .pids = g_strdup ("."),
                        .object_format = g_strdup ("own"),
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
  g_free (options.object_format);
  g_free (options.fault_names);
  g_free (options.series);
  g_free (options.additions);
  return result;
}

static bool
parse_options (options_t *options, int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &options->port,
      "port of the callers, instances, proxies and servers", "PORT" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &options->platform,
      "address of the stand-in for the platform", "IP:PORT" },
    { "pids", 0, 0, G_OPTION_ARG_STRING, &options->pids,
      "directory with the PIDs of the instances, as 1.pid", "FOLDER" },
    { "form", 0, 0, G_OPTION_ARG_STRING, &options->object_format,
      "own or objects: format of entries and routes", "FORM" },
    { "instances", 0, 0, G_OPTION_ARG_INT, &options->instances,
      "number of instances, 1 to 100", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &options->seconds,
      "time for which faults are injected", "N" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
      "seed of the random numbers", "N" },
    { "only", 0, 0, G_OPTION_ARG_STRING, &options->fault_names,
      "names of the faults to inject, separated by commas", "NAMES" },
    { "with", 0, 0, G_OPTION_ARG_STRING, &options->additions,
      "what happens besides the faults: evacuations, overload, cold",
      "NAMES" },
    { "series", 0, 0, G_OPTION_ARG_FILENAME, &options->series,
      "write the results of the requests in each second", "FILE" },
    { "calm", 0, 0, G_OPTION_ARG_NONE, &options->is_calm, "no faults", NULL },
    { "planned", 0, 0, G_OPTION_ARG_NONE, &options->is_planned,
      "planned operations alone; no request may fail", NULL },
    G_OPTION_ENTRY_NULL,
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  bool is_valid = g_option_context_parse (context, &argc, &argv, &error)
                  && options->instances > 0
                  && options->instances <= WORLD_INSTANCES_MAX
                  && options->seconds >= 0
                  && find_object_format (options->object_format);
  if (!is_valid)
    gbd_log (GBD_EVENT_STANDIN_FAILED, "world",
             error ? error->message
                   : "a number is out of range, or the form is unknown");
  g_clear_error (&error);
  g_option_context_free (context);
  return is_valid;
}

static bool
has_addition (const options_t *options, const char *name)
{
  char **names
      = g_strsplit (options->additions ? options->additions : "", ",", 0);
  bool is_found = g_strv_contains ((const gchar *const *)names, name);
  g_strfreev (names);
  return is_found;
}

static const world_object_format_t *
find_object_format (const char *name)
{
  if (strcmp (name, world_object_format_native.name) == 0)
    return &world_object_format_native;
  return strcmp (name, world_object_format_objects.name) == 0
             ? &world_object_format_objects
             : NULL;
}

static bool
start (world_t *world, const options_t *options)
{
  gbd_time_t now = g_get_monotonic_time ();
  world->port = (uint16_t)options->port;
  world->object_format = find_object_format (options->object_format);
  world->instance_count = (uint32_t)options->instances;
  world->random = g_rand_new_with_seed ((guint32)options->seed);
  world->delayed = delay_queue_new ();
  world->execution_counts = g_hash_table_new (NULL, NULL);
  world->non_idempotent_requests = g_hash_table_new (NULL, NULL);
  world->started_at = now;
  world->has_faults = !options->is_calm;
  world->is_planned = options->is_planned;
  world->fault_names = options->fault_names
                           ? g_strsplit (options->fault_names, ",", 0)
                           : NULL;
  world->next_fault_at = now + STARTUP_PERIOD;
  world->faults_end_at = now + STARTUP_PERIOD + options->seconds * GBD_SECOND;
  world->ends_at = world->faults_end_at + RECOVERY_PERIOD;
  world->has_refusals = options->additions;
  if (has_addition (options, "evacuations"))
    world_evacuations_start (world, (uint32_t)options->seed, now);
  if (has_addition (options, "overload"))
    world_bursts_start (world, (uint32_t)options->seed, now);
  if (has_addition (options, "cold"))
    world_cold_start (world, (uint32_t)options->seed, now);
  const char *problem = "specify names of faults and a writable file";
  if ((world->fault_names && !world_faults_are_known (world->fault_names))
      || !world_series_open (world, options->series))
    goto fail;
  problem = "cannot bind the addresses; specify another --port";
  if (gbd_address_parse (options->platform, &world->platform) != GBD_OK
      || !world_callers_start (world)
      || !world_fabric_start (world, options->pids)
      || !world_proxies_start (world))
    goto fail;
  problem = "the platform does not accept objects";
  if (!world_routes_write (world, now))
    goto fail;
  for (uint32_t i = 0; i < 2 * SERVERS_PER_SERVICE; i++)
    {
      if (!world_server_add (world, i % 2, now))
        goto fail;
    }
  return true;

fail:
  gbd_log (GBD_EVENT_STANDIN_FAILED, "world", problem);
  return false;
}

static void
run (world_t *world)
{
  gbd_time_t now = g_get_monotonic_time ();
  while (now < world->ends_at)
    {
      poll_once (world, now);
      now = g_get_monotonic_time ();
    }
}

static void
poll_once (world_t *world, gbd_time_t now)
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
  delayed_datagram_t *datagram;
  while ((datagram = delay_queue_take (world->delayed, now)))
    {
      struct sockaddr_storage name;
      socklen_t length = gbd_udp_to_sockaddr (&datagram->to, &name);
      sendto (world->caller_fds[0], datagram->bytes, datagram->length,
              MSG_DONTWAIT, (const struct sockaddr *)&name, length);
      g_free (datagram);
    }
  world_faults_tick (world, now);
  world_evacuations_tick (world, now);
  world_bursts_tick (world, now);
  world_cold_tick (world, now);
  world_servers_tick (world, now);
  world_proxies_tick (world, now);
  world_callers_tick (world, now);
  world_series_tick (world, now);
}

static int
report (world_t *world, const options_t *options)
{
  gbd_time_t now = g_get_monotonic_time ();
  double served_share = world->requests_after_recovery
                            ? (double)world->served_after_recovery
                                  / (double)world->requests_after_recovery
                            : 0;
  if (served_share < WORLD_SERVED_SHARE_MIN)
    world_report_violation (
        world, WORLD_NOT_RECOVERED, now,
        "%" PRIu64 " of %" PRIu64 " served after the faults",
        world->served_after_recovery, world->requests_after_recovery);
  /* Where instances may refuse flows, each refusal is checked when it arrives,
     and a request that was refused at each attempt is no loss by itself. */
  uint64_t lost = world->failed - world->failed_refused;
  if ((world->is_planned || !world->has_faults) && lost > 0)
    world_report_violation (world, WORLD_PLANNED_LOSS, now,
                            "%" PRIu64 " requests", lost);
  uint64_t violation_count = 0;
  printf ("{\"seed\":%d,\"asked\":%" PRIu64 ",\"served\":%" PRIu64
          ",\"failed\":%" PRIu64 ",\"served_after_faults\":%.4f",
          options->seed, world->requests_ended, world->served, world->failed,
          served_share);
  for (int i = 0; i < WORLD_VIOLATION_COUNT; i++)
    {
      printf (",\"%s\":%" PRIu64, world_violation_strings[i],
              world->violations[i]);
      violation_count += world->violations[i];
    }
  world_evacuations_print (world);
  world_bursts_print (world);
  world_cold_print (world);
  printf ("}\n");
  return violation_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
