#include "cookie_serve.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>

#include "command.h"
#include "loop.h"
#include "platform/adapter.h"

#define TICK_US (100 * LWS_US_PER_MS)
/* While the instance starts, time-outs are shorter. */
#define START_TICK_US (20 * LWS_US_PER_MS)
#define START_TIME (5 * GBD_SECOND)
#define SOCKET_BUFFER (256 * 1024) /* bytes; 0.2 s at 10 Mbit/s */
#define TRACKED_FLOWS 2048
/* Time between checks of the settings file. */
#define SETTINGS_INTERVAL (2 * GBD_SECOND)
/* The fabric removes an instance after two failed health checks, which it
   makes twice a second.  Packets may arrive until the removal and for a short
   time after it. */
#define SHUTDOWN_MIN (1500 * GBD_MILLISECOND)
#define SHUTDOWN_IDLE (500 * GBD_MILLISECOND)
#define DESCRIPTOR_COUNT_MAX 3
/* Time after which libwebsockets aborts a response; longer than the wait of
   any long poll. */
#define RESPONSE_TIMEOUT_S 40
#define NS_PER_S 1000000000

static bool start (gbd_cookie_serve_t *serve);
static bool start_datapath (gbd_cookie_serve_t *serve, const char **error);
static bool start_http_servers (gbd_cookie_serve_t *serve, const char **error);
static gbd_admin_t *open_public_server (gbd_cookie_serve_t *serve,
                                        const gbd_address_t *listen,
                                        const char **error);
static void clean_up (gbd_cookie_serve_t *serve);
static void handle_packets (void *data, int fd);
static void handle_reports (void *data, int fd);
static void handle_signal (void *data, int fd);
static void start_shutdown (gbd_cookie_serve_t *serve);
static void check_shutdown (gbd_cookie_serve_t *serve, gbd_time_t now);
static void check_readiness (gbd_cookie_serve_t *serve, gbd_time_t now);
static void check_settings_file (gbd_cookie_serve_t *serve, gbd_time_t now);
static int64_t read_settings_mtime (void);
static void reload_settings (gbd_cookie_serve_t *serve, gbd_time_t now);
static const char *find_restart_setting (const gbd_settings_t *old,
                                         const gbd_settings_t *new);
static void tick (lws_sorted_usec_list_t *timer);

int
gbd_serve_cookie (gbd_settings_t *settings, char **flags)
{
  int exit_status = GBD_EXIT_FAILED;
  gbd_cookie_serve_t serve = { .settings = settings,
                               .flags = flags,
                               .clock = gbd_loop_now,
                               .started_at = gbd_loop_now (NULL) };
  serve.event_log = gbd_event_log_new (
      STDOUT_FILENO, settings->name, settings->log_priority, serve.started_at);
  int signal_fd = gbd_loop_open_signals ();
  if (!serve.event_log || signal_fd < 0 || !start (&serve))
    goto done;
  gbd_descriptor_t descriptors[DESCRIPTOR_COUNT_MAX] = {
    { &serve, signal_fd, handle_signal },
    { &serve, gbd_cookie_datapath_get_fd (serve.datapath), handle_packets },
    { &serve, gbd_cookie_reports_get_fd (&serve), handle_reports },
  };
  size_t descriptor_count
      = serve.reports ? DESCRIPTOR_COUNT_MAX : DESCRIPTOR_COUNT_MAX - 1;
  if (!gbd_loop_poll_descriptors (serve.context, descriptors,
                                  descriptor_count))
    {
      gbd_event_log_emit (
          serve.event_log, GBD_EVENT_FATAL, serve.started_at,
          json_pack ("{s:s}", "cause", "descriptors cannot be polled"));
      goto done;
    }
  if (!gbd_loop_run (serve.context, &serve.is_done))
    goto done;
  gbd_event_log_emit (serve.event_log, GBD_EVENT_STOPPED, serve.clock (NULL),
                      json_pack ("{s:s}", "cause", "planned"));
  exit_status = GBD_EXIT_OK;

done:
  clean_up (&serve);
  if (signal_fd >= 0)
    close (signal_fd);
  return exit_status;
}

static bool
start (gbd_cookie_serve_t *serve)
{
  gbd_time_t now = serve->started_at;
  const char *error = "out of memory; raise the memory limit";
  lws_set_log_level (LLL_ERR, NULL);
  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = gbd_loop_protocols,
    .options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS,
    .timeout_secs = RESPONSE_TIMEOUT_S,
    .user = serve,
  };
  if (getrandom (&serve->random_value, sizeof serve->random_value, 0)
      != sizeof serve->random_value)
    serve->random_value
        = (uint64_t)now ^ gbd_id_from_name (serve->settings->name);
  serve->context = lws_create_context (&info);
  if (!serve->context || !start_datapath (serve, &error)
      || !start_http_servers (serve, &error)
      || !gbd_cookie_store_start (serve, &error))
    {
      gbd_event_log_emit (serve->event_log, GBD_EVENT_FATAL, now,
                          json_pack ("{s:s}", "cause", error));
      return false;
    }
  gbd_cookie_reports_start (serve);
  serve->settings_mtime = read_settings_mtime ();
  serve->settings_check_due = now + SETTINGS_INTERVAL;
  gbd_event_log_emit (serve->event_log, GBD_EVENT_STARTED, now,
                      json_pack ("{s:s, s:s}", "zone", serve->settings->zone,
                                 "policy", serve->settings->policy));
  lws_sul_schedule (serve->context, 0, &serve->timer, tick, 1);
  return true;
}

static bool
start_datapath (gbd_cookie_serve_t *serve, const char **error)
{
  gbd_director_settings_t director = {
    .zone = gbd_zone_from_name (serve->settings->zone),
    .flow_capacity = TRACKED_FLOWS,
  };
  if (serve->settings->warmup_overshoot.is_set)
    director.warm_up = (gbd_warm_up_settings_t){
      .instance = gbd_id_from_name (serve->settings->name),
      .overshoot = serve->settings->warmup_overshoot.value,
      .slack = serve->settings->warmup_slack.value,
    };
  serve->director = gbd_director_new (&director);
  if (!serve->director)
    return false;
  gbd_cookie_datapath_settings_t datapath = {
    .listen = serve->settings->fabric_listen,
    .codec = &gbd_packet_codec_echo,
    .socket_buffer = SOCKET_BUFFER,
    .clock = serve->clock,
    .observe = gbd_cookie_report_decision,
    .data = serve,
  };
  serve->datapath
      = gbd_cookie_datapath_new (&datapath, serve->director, error);
  if (!serve->datapath || !serve->settings->probe_servers)
    return serve->datapath;
  serve->prober = gbd_prober_new (gbd_director_get_pool (serve->director),
                                  gbd_cookie_report_probe, serve);
  return serve->prober;
}

static bool
start_http_servers (gbd_cookie_serve_t *serve, const char **error)
{
  const gbd_settings_t *settings = serve->settings;
  gbd_admin_settings_t admin = {
    .listen = settings->admin_listen,
    .token = settings->admin_token,
  };
  if (settings->admin_listen.family)
    {
      serve->admin = gbd_admin_new (serve->context, &admin,
                                    &gbd_cookie_admin_callbacks, serve, error);
      if (!serve->admin)
        return false;
    }
  if (settings->ready_listen.family)
    {
      serve->ready_server
          = open_public_server (serve, &settings->ready_listen, error);
      if (!serve->ready_server)
        return false;
    }
  /* An instance can work without its metrics endpoint, so this failure is
     not fatal. */
  if (settings->metrics_listen.family)
    {
      const char *problem = NULL;
      serve->metrics_server
          = open_public_server (serve, &settings->metrics_listen, &problem);
      if (!serve->metrics_server)
        gbd_event_log_emit (serve->event_log, GBD_EVENT_BAD_SETTING,
                            serve->started_at,
                            json_pack ("{s:s, s:s}", "setting",
                                       "metrics-listen", "cause", problem));
    }
  return true;
}

static gbd_admin_t *
open_public_server (gbd_cookie_serve_t *serve, const gbd_address_t *listen,
                    const char **error)
{
  gbd_admin_settings_t settings = { .listen = *listen, .is_public = true };
  return gbd_admin_new (serve->context, &settings, &gbd_cookie_admin_callbacks,
                        serve, error);
}

static void
clean_up (gbd_cookie_serve_t *serve)
{
  lws_sul_cancel (&serve->timer);
  gbd_cookie_reports_stop (serve);
  gbd_cookie_servers_stop (serve);
  gbd_platform_watch_delete (serve->routes_watch);
  gbd_platform_delete (serve->platform);
  gbd_admin_delete (serve->admin);
  gbd_admin_delete (serve->ready_server);
  gbd_admin_delete (serve->metrics_server);
  if (serve->context)
    lws_context_destroy (serve->context);
  gbd_prober_delete (serve->prober);
  gbd_cookie_datapath_delete (serve->datapath);
  gbd_director_delete (serve->director);
  gbd_event_log_delete (serve->event_log);
}

static void
handle_packets (void *data, int fd)
{
  (void)fd;
  gbd_cookie_serve_t *serve = data;
  gbd_cookie_datapath_receive (serve->datapath);
  gbd_cookie_reports_check (serve, serve->clock (NULL));
}

static void
handle_reports (void *data, int fd)
{
  (void)fd;
  gbd_cookie_reports_receive (data);
}

static void
handle_signal (void *data, int fd)
{
  gbd_cookie_serve_t *serve = data;
  struct signalfd_siginfo info;
  while (read (fd, &info, sizeof info) == (ssize_t)sizeof info)
    {
      if (info.ssi_signo == SIGUSR1)
        gbd_cookie_report_dump (serve);
      else if (info.ssi_signo == SIGHUP)
        reload_settings (serve, serve->clock (NULL));
      else
        start_shutdown (serve);
    }
}

static void
start_shutdown (gbd_cookie_serve_t *serve)
{
  if (serve->is_stopping)
    return;
  gbd_time_t now = serve->clock (NULL);
  serve->is_stopping = true;
  serve->shutdown_started_at = now;
  serve->shutdown_deadline
      = now + serve->settings->stop_forward_ms * GBD_MILLISECOND;
  gbd_event_log_emit (serve->event_log, GBD_EVENT_STOPPING, now,
                      json_pack ("{s:i}", "forward_ms",
                                 (int)serve->settings->stop_forward_ms));
}

/* Packets are forwarded until the fabric stops sending to this instance, or
   until the deadline. */
static void
check_shutdown (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  if (!serve->is_stopping)
    return;
  gbd_cookie_datapath_stats_t stats;
  gbd_cookie_datapath_get_stats (serve->datapath, &stats);
  bool is_idle = now - serve->shutdown_started_at >= SHUTDOWN_MIN
                 && now - stats.last_packet_at >= SHUTDOWN_IDLE;
  serve->is_done = is_idle || now >= serve->shutdown_deadline;
}

static void
check_readiness (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  bool is_ready = gbd_director_is_ready (serve->director);
  if (is_ready && !serve->was_ready)
    gbd_event_log_emit (
        serve->event_log, GBD_EVENT_READY, now,
        json_pack ("{s:I}", "start_ms",
                   (json_int_t)((now - serve->started_at) / GBD_MILLISECOND)));
  serve->was_ready = is_ready;
}

/* Detects changes of the settings file that are not announced by a signal. */
static void
check_settings_file (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  if (now < serve->settings_check_due)
    return;
  serve->settings_check_due = now + SETTINGS_INTERVAL;
  if (read_settings_mtime () != serve->settings_mtime)
    reload_settings (serve, now);
}

static int64_t
read_settings_mtime (void)
{
  const char *path = getenv (GBD_SETTINGS_FILE_VARIABLE);
  struct stat status;
  if (!path || stat (path, &status) < 0)
    return 0;
  return (int64_t)status.st_mtim.tv_sec * NS_PER_S + status.st_mtim.tv_nsec;
}

static void
reload_settings (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_settings_t settings;
  serve->settings_mtime = read_settings_mtime ();
  char **flags = g_strdupv (serve->flags);
  char **rest = flags;
  int count = (int)g_strv_length (flags);
  gbd_status_t status = gbd_settings_parse (&count, &rest, &settings);
  g_free (flags);
  if (status != GBD_OK)
    return;
  const char *restart = find_restart_setting (serve->settings, &settings);
  serve->settings->log_priority = settings.log_priority;
  serve->settings->stop_forward_ms = settings.stop_forward_ms;
  gbd_event_log_set_priority (serve->event_log, settings.log_priority);
  gbd_event_log_emit (serve->event_log, GBD_EVENT_SETTINGS_READ, now,
                      json_pack ("{s:s?}", "restart", restart));
}

/* Returns the first changed setting that requires a restart, or NULL. */
static const char *
find_restart_setting (const gbd_settings_t *old, const gbd_settings_t *new)
{
  if (!gbd_address_is_equal (&old->platform, &new->platform))
    return "platform";
  if (!gbd_address_is_equal (&old->fabric_listen, &new->fabric_listen))
    return "fabric-listen";
  if (!gbd_address_is_equal (&old->ready_listen, &new->ready_listen))
    return "ready-listen";
  return strcmp (old->zone, new->zone) != 0 ? "zone" : NULL;
}

static void
tick (lws_sorted_usec_list_t *timer)
{
  gbd_cookie_serve_t *serve
      = lws_container_of (timer, gbd_cookie_serve_t, timer);
  gbd_time_t now = serve->clock (NULL);
  gbd_cookie_store_tick (serve, now);
  gbd_cookie_servers_tick (serve, now);
  gbd_director_tick (serve->director, now);
  gbd_cookie_room_tick (&serve->room, serve->director, serve->event_log, now);
  if (serve->prober)
    gbd_prober_tick (serve->prober, now);
  gbd_cookie_reports_tick (serve, now);
  gbd_cookie_warm_up_tick (serve, now);
  check_readiness (serve, now);
  check_settings_file (serve, now);
  check_shutdown (serve, now);
  gbd_event_log_flush (serve->event_log);
  bool is_starting = !serve->was_ready && now - serve->started_at < START_TIME;
  if (serve->is_done)
    lws_cancel_service (serve->context);
  else
    lws_sul_schedule (serve->context, 0, &serve->timer, tick,
                      is_starting ? START_TICK_US : TICK_US);
}
