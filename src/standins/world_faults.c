#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/http.h"
#include "standins/world.h"

#define FAULT_INTERVAL_MIN_MS 150 /* shortest time between two faults */
#define FAULT_INTERVAL_MAX_MS 1500
#define FAULT_DURATION_MIN_MS 300
#define FAULT_DURATION_MAX_MS 4000
/* No fault reduces the ready servers of a service below this number. */
#define SERVICE_SERVERS_MIN 2
#define SERVICE_SERVERS_MAX 8
#define DRAIN_DURATION (5 * GBD_SECOND)
#define LOSS_SHARE 0.04
#define TIMEOUT_MS 300
/* Times after a restore in which running backend servers write their entries
   again, and in which the entries of others expire. */
#define RESTORE_REWRITE_TIME GBD_SECOND
#define RESTORE_EXPIRY_TIME (3600 * GBD_MILLISECOND)

typedef struct
{
  const char *name;
  uint32_t weight;
  bool is_planned;    /* whether it is a planned operation, not a failure */
  bool is_on_request; /* only if its name is given, so that the faults of a
                         seed stay the same */
  void (*begin) (world_t *world, gbd_time_t now, gbd_time_t until);
} fault_t;

static void kill_instance (world_t *world, gbd_time_t now, gbd_time_t until);
static void kill_all_instances (world_t *world, gbd_time_t now,
                                gbd_time_t until);
static void stop_instance (world_t *world, gbd_time_t now, gbd_time_t until);
static void pause_instance (world_t *world, gbd_time_t now, gbd_time_t until);
static void reload_instance (world_t *world, gbd_time_t now, gbd_time_t until);
static void break_platform_connection (world_t *world, gbd_time_t now,
                                       gbd_time_t until);
static void stop_platform (world_t *world, gbd_time_t now, gbd_time_t until);
static void slow_platform_down (world_t *world, gbd_time_t now,
                                gbd_time_t until);
static void restore_platform (world_t *world, gbd_time_t now,
                              gbd_time_t until);
static void tick_restore (world_t *world, gbd_time_t now);
static void close_watches (world_t *world, gbd_time_t now, gbd_time_t until);
static void compact_history (world_t *world, gbd_time_t now, gbd_time_t until);
static void delay_replica (world_t *world, gbd_time_t now, gbd_time_t until);
static void lose_packets (world_t *world, gbd_time_t now, gbd_time_t until);
static void crash_server (world_t *world, gbd_time_t now, gbd_time_t until);
static void drain_server (world_t *world, gbd_time_t now, gbd_time_t until);
static void add_server (world_t *world, gbd_time_t now, gbd_time_t until);
static void change_routes (world_t *world, gbd_time_t now, gbd_time_t until);
static size_t choose_fault (world_t *world);
static uint32_t get_fault_weight (const world_t *world, const fault_t *fault);
static uint32_t choose_instance (world_t *world);
static void send_signal (world_t *world, uint32_t instance, int signal_number,
                         gbd_time_t now);
static bool set_switch (world_t *world, const char *text, gbd_time_t now,
                        gbd_time_t until);
static world_server_t *choose_server (world_t *world);
static uint32_t count_servers (const world_t *world, uint32_t service);
static bool has_neighbor (const world_t *world, const world_server_t *server);
static void end_faults (world_t *world, gbd_time_t now);

/* End of the pause of each instance; 0 if it is not paused. */
static gbd_time_t paused_until[WORLD_INSTANCES_MAX];
static bool is_switch_set;

/* Steps of a restore of the platform from a copy; 0: none. */
static struct
{
  gbd_time_t restore_due;
  gbd_time_t rewrite_due; /* servers and operator write again what was lost */
  gbd_time_t expiry_due;  /* entries that nobody writes expire */
} restore;

static const fault_t faults[] = {
  { "kill", 3, false, false, kill_instance },
  { "kill all", 1, false, false, kill_all_instances },
  { "stop", 4, true, false, stop_instance },
  { "pause", 3, false, false, pause_instance },
  { "reload", 2, true, false, reload_instance },
  { "cut from the platform", 4, false, false, break_platform_connection },
  { "platform down", 2, false, false, stop_platform },
  { "platform slow", 1, false, false, slow_platform_down },
  { "watches cut", 1, false, false, close_watches },
  { "history forgotten", 1, false, false, compact_history },
  { "copies lag", 2, false, false, delay_replica },
  { "packets lost", 2, false, false, lose_packets },
  { "server crash", 3, false, false, crash_server },
  { "server drain", 4, true, false, drain_server },
  { "server added", 4, true, false, add_server },
  { "routes", 4, true, false, change_routes },
  { "platform restored", 4, false, true, restore_platform },
};
#define FAULT_COUNT (sizeof faults / sizeof faults[0])

void
world_faults_tick (world_t *world, gbd_time_t now)
{
  end_faults (world, now);
  tick_restore (world, now);
  if (!world->has_faults || now < world->next_fault_at
      || now >= world->faults_end_at)
    return;
  world->next_fault_at
      = now
        + g_rand_int_range (world->random, FAULT_INTERVAL_MIN_MS,
                            FAULT_INTERVAL_MAX_MS)
              * GBD_MILLISECOND;
  gbd_time_t until = now
                     + g_rand_int_range (world->random, FAULT_DURATION_MIN_MS,
                                         FAULT_DURATION_MAX_MS)
                           * GBD_MILLISECOND;
  size_t chosen = choose_fault (world);
  fprintf (stderr, "%.3f fault: %s\n",
           (double)(now - world->started_at) / GBD_SECOND,
           faults[chosen].name);
  world_series_record_fault (world, faults[chosen].name);
  faults[chosen].begin (world, now, until);
}

bool
world_faults_are_known (char *const *names)
{
  for (int i = 0; names[i]; i++)
    {
      bool is_known = false;
      for (size_t j = 0; j < FAULT_COUNT; j++)
        is_known = is_known || strcmp (names[i], faults[j].name) == 0;
      if (!is_known)
        return false;
    }
  return names[0];
}

static size_t
choose_fault (world_t *world)
{
  uint32_t total = 0;
  for (size_t i = 0; i < FAULT_COUNT; i++)
    total += get_fault_weight (world, &faults[i]);
  uint32_t draw = (uint32_t)g_rand_int_range (world->random, 0, (gint32)total);
  size_t chosen = 0;
  while (draw >= get_fault_weight (world, &faults[chosen]))
    draw -= get_fault_weight (world, &faults[chosen++]);
  return chosen;
}

static uint32_t
get_fault_weight (const world_t *world, const fault_t *fault)
{
  if ((world->is_planned && !fault->is_planned)
      || (fault->is_on_request && !world->fault_names))
    return 0;
  if (world->fault_names
      && !g_strv_contains ((const gchar *const *)world->fault_names,
                           fault->name))
    return 0;
  return fault->weight;
}

static void
kill_instance (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  send_signal (world, choose_instance (world), SIGKILL, now);
}

static void
kill_all_instances (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  for (uint32_t i = 0; i < world->instance_count; i++)
    send_signal (world, i, SIGKILL, now);
}

static void
stop_instance (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  send_signal (world, choose_instance (world), SIGTERM, now);
}

static void
pause_instance (world_t *world, gbd_time_t now, gbd_time_t until)
{
  uint32_t instance = choose_instance (world);
  if (paused_until[instance])
    return;
  paused_until[instance] = until;
  send_signal (world, instance, SIGSTOP, now);
}

/* A reload does not count as a disturbance: the limits apply during it. */
static void
reload_instance (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  uint32_t instance = choose_instance (world);
  gbd_time_t disturbed_at = world->instances[instance].disturbed_at;
  send_signal (world, instance, SIGHUP, now);
  world->instances[instance].disturbed_at = disturbed_at;
}

static void
break_platform_connection (world_t *world, gbd_time_t now, gbd_time_t until)
{
  static const world_proxy_mode_t modes[]
      = { PROXY_RESET, PROXY_BLACKHOLE, PROXY_REQUESTS_ONLY };
  uint32_t instance = choose_instance (world);
  world->instances[instance].disturbed_at = MAX (now, until);
  world_proxy_set (world, instance,
                   modes[g_rand_int_range (world->random, 0, 3)], until);
}

static void
stop_platform (world_t *world, gbd_time_t now, gbd_time_t until)
{
  if (set_switch (world, "{\"down\":true}", now, until))
    world->platform_away_until = G_MAXINT64;
}

static void
slow_platform_down (world_t *world, gbd_time_t now, gbd_time_t until)
{
  set_switch (world, "{\"slow_ms\":200}", now, until);
}

/* Keeps a copy, from which the platform is restored later. */
static void
restore_platform (world_t *world, gbd_time_t now, gbd_time_t until)
{
  if (restore.restore_due || restore.rewrite_due || restore.expiry_due
      || !set_switch (world, "{\"save_copy\":true}", now, now))
    return;
  restore.restore_due = until;
}

static void
tick_restore (world_t *world, gbd_time_t now)
{
  if (restore.restore_due && now >= restore.restore_due
      && set_switch (world, "{\"restore\":true}", now,
                     now + RESTORE_REWRITE_TIME))
    {
      restore.restore_due = 0;
      restore.rewrite_due = now + RESTORE_REWRITE_TIME;
      restore.expiry_due = now + RESTORE_EXPIRY_TIME;
    }
  if (restore.rewrite_due && now >= restore.rewrite_due)
    {
      restore.rewrite_due = 0;
      world->platform_away_until = now;
      world->cold.restored_at = now + RESTORE_EXPIRY_TIME;
      world_evacuations_write_again (world);
      world_routes_write (world, now);
      world_servers_write_again (world);
      world->platform_disturbed_at = now;
    }
  if (restore.expiry_due && now >= restore.expiry_due)
    {
      restore.expiry_due = 0;
      world_servers_expire_entries (world);
      world->platform_disturbed_at = now;
    }
}

static void
close_watches (world_t *world, gbd_time_t now, gbd_time_t until)
{
  set_switch (world, "{\"cut_watches\":true}", now, until);
}

static void
compact_history (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  set_switch (world, "{\"forget_history\":true}", now, now);
}

/* Reads with allow_stale see an older state; all other reads see the current
   state. */
static void
delay_replica (world_t *world, gbd_time_t now, gbd_time_t until)
{
  set_switch (world, "{\"lag_ms\":3000}", now, until);
}

static void
lose_packets (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)now;
  world->loss = LOSS_SHARE;
  world->loss_until = until;
}

static void
crash_server (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  world_server_t *server = choose_server (world);
  if (!server)
    return;
  world_server_crash (server, now);
}

static void
drain_server (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  world_server_t *server = choose_server (world);
  if (!server || now < world->platform_fault_until)
    return;
  server->state = SERVER_DRAINING;
  if (world_server_write (world, server))
    {
      server->drained_at = now;
      server->due = now + DRAIN_DURATION;
      return;
    }
  server->state = SERVER_READY;
}

static void
add_server (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  uint32_t service
      = count_servers (world, 0) > count_servers (world, 1) ? 1 : 0;
  if (now >= world->platform_fault_until
      && count_servers (world, service) < SERVICE_SERVERS_MAX)
    world_server_add (world, service, now);
}

static void
change_routes (world_t *world, gbd_time_t now, gbd_time_t until)
{
  (void)until;
  if (now < world->platform_fault_until)
    return;
  int32_t previous = world->third_service;
  world->third_service = g_rand_int_range (world->random, -1, 2);
  if (!world_routes_write (world, now))
    world->third_service = previous;
}

static uint32_t
choose_instance (world_t *world)
{
  return (uint32_t)g_rand_int_range (world->random, 0,
                                     (gint32)world->instance_count);
}

/* Sends a signal to an instance.  The PID comes from the file that the script
   wrote when it started the instance, so that no other process is affected. */
static void
send_signal (world_t *world, uint32_t instance, int signal_number,
             gbd_time_t now)
{
  FILE *file = fopen (world->instances[instance].pid_file, "re");
  char line[32] = "";
  world->instances[instance].disturbed_at = now + GBD_SECOND;
  if (!file)
    return;
  bool is_read = fgets (line, sizeof line, file);
  fclose (file);
  long pid = is_read ? strtol (line, NULL, 10) : 0;
  if (pid > 1)
    kill ((pid_t)pid, signal_number);
}

static bool
set_switch (world_t *world, const char *text, gbd_time_t now, gbd_time_t until)
{
  if (is_switch_set
      || http_call (&world->platform, "PUT", "/switch", text, TIMEOUT_MS, NULL)
             != 200)
    return false;
  is_switch_set = true;
  world->platform_fault_until = MAX (now, until);
  return true;
}

static world_server_t *
choose_server (world_t *world)
{
  uint32_t start = (uint32_t)g_rand_int_range (world->random, 0,
                                               (gint32)world->server_count);
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      world_server_t *server
          = &world->servers[(start + i) % world->server_count];
      if (server->state == SERVER_READY
          && count_servers (world, server->service) > SERVICE_SERVERS_MIN
          && (!world->evacuations.random || has_neighbor (world, server)))
        return server;
    }
  return NULL;
}

static uint32_t
count_servers (const world_t *world, uint32_t service)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < world->server_count; i++)
    count += world->servers[i].state == SERVER_READY
             && world->servers[i].service == service;
  return count;
}

/* Whether its zone has another ready server of the same service, so that the
   zone can take the load if the other one is evacuated. */
static bool
has_neighbor (const world_t *world, const world_server_t *server)
{
  const char *zone
      = world_server_zone (world, (uint32_t)(server - world->servers));
  for (uint32_t i = 0; i < world->server_count; i++)
    {
      if (&world->servers[i] != server
          && world->servers[i].state == SERVER_READY
          && world->servers[i].service == server->service
          && strcmp (world_server_zone (world, i), zone) == 0)
        return true;
    }
  return false;
}

static void
end_faults (world_t *world, gbd_time_t now)
{
  for (uint32_t i = 0; i < world->instance_count; i++)
    {
      if (!paused_until[i] || now < paused_until[i])
        continue;
      paused_until[i] = 0;
      send_signal (world, i, SIGCONT, now);
    }
  if (is_switch_set && now >= world->platform_fault_until)
    {
      is_switch_set = http_call (&world->platform, "PUT", "/switch",
                                 "{\"down\":false,\"slow_ms\":0,"
                                 "\"cut_watches\":false,\"lag_ms\":0}",
                                 TIMEOUT_MS, NULL)
                      != 200;
      if (!is_switch_set)
        {
          world->platform_disturbed_at = now;
          if (world->platform_away_until > now)
            world->platform_away_until = now;
        }
    }
}
