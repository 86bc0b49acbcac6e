#include "cmd_serve.h"

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "command.h"
#include "cookie_serve.h"
#include "loop.h"
#include "serve.h"
#include "share/log.h"

#define TICK_US (100 * LWS_US_PER_MS)
/* If no packet arrives for this time, the fabric has stopped sending packets
   to this instance. */
#define FABRIC_IDLE_TIME (500 * GBD_MILLISECOND)
#define SOCKET_BUFFER (4 * 1024 * 1024) /* bytes */
#define LINK_QUEUE_BYTES (4 * 1024 * 1024)
#define WATCH_WAIT_MS 10000
#define CALL_TIMEOUT_MS 2000
#define FLOW_TRANSFER_BYTES_PER_SECOND 2000
#define WATCHERS 2

static int serve_group (const gbd_settings_t *settings);
static bool start (gbd_serve_t *serve);
static bool start_engine_and_node (gbd_serve_t *serve);
static bool start_sockets (gbd_serve_t *serve);
static void clean_up (gbd_serve_t *serve);
static const char *path_or_null (const char *path);
static uint8_t parse_partition_policy (const char *name);
static void handle_packets (void *data, int fd);
static void handle_signal (void *data, int fd);
static void reload_certificates (gbd_serve_t *serve);
static void begin_stop (gbd_serve_t *serve);
static void check_stop (gbd_serve_t *serve, gbd_time_t now);
static void tick (lws_sorted_usec_list_t *timer);
static gbd_instance_id_t make_instance_id (const char *name);
static void node_send_message (void *data, gbd_instance_id_t to,
                               const gbd_message_t *message);
static void node_write_table (void *data, uint64_t object_version,
                              const gbd_table_t *table);
static void node_set_watching (void *data, bool is_watching);
static void node_send_config (void *data, gbd_instance_id_t to);
static void node_log_event (void *data, gbd_node_event_t event,
                            gbd_service_id_t service, uint64_t number);

static const char *const lease_descriptions[] = {
  "no lease: only known flows are forwarded",
  "zone lease: zone partitioned, new flows go to its own backend servers",
  "full lease: all table versions here are current"
};

static const gbd_node_actions_t node_actions = {
  .send = node_send_message,
  .write_table = node_write_table,
  .set_watching = node_set_watching,
  .send_config = node_send_config,
  .report_event = node_log_event,
};

int
gbd_command_serve (int argc, char **argv)
{
  gbd_settings_t settings;
  /* Parsing removes the options that it recognizes. */
  char **arguments = g_strdupv (argv);
  char **rest = argv;
  gbd_status_t status = gbd_settings_parse (&argc, &rest, &settings);
  int exit_status = GBD_EXIT_USAGE;
  if (status == GBD_OK && strcmp (settings.policy, GBD_POLICY_COOKIE) == 0)
    exit_status = gbd_serve_cookie (&settings, arguments);
  else if (status == GBD_OK)
    exit_status = serve_group (&settings);
  g_strfreev (arguments);
  return exit_status;
}

gbd_time_t
gbd_serve_now (void)
{
  return gbd_loop_now (NULL);
}

static int
serve_group (const gbd_settings_t *settings)
{

  int exit_status = GBD_EXIT_FAILED;
  gbd_serve_t serve = { .settings = settings };
  int signal_fd = gbd_loop_open_signals ();
  if (signal_fd < 0 || !start (&serve))
    goto done;
  gbd_descriptor_t descriptors[] = {
    { &serve, signal_fd, handle_signal },
    { &serve, gbd_datapath_get_fabric_fd (serve.datapath), handle_packets },
    { &serve, gbd_datapath_get_peer_fd (serve.datapath), handle_packets },
  };
  if (!gbd_loop_poll_descriptors (serve.context, descriptors,
                                  sizeof descriptors / sizeof descriptors[0]))
    {
      gbd_log (GBD_EVENT_FATAL, "descriptors cannot be polled");
      goto done;
    }

  gbd_log (GBD_EVENT_STARTED, settings->name, "0.1.0");
  if (!gbd_loop_run (serve.context, &serve.is_done))
    goto done;
  gbd_log (GBD_EVENT_STOPPED, "planned");
  exit_status = GBD_EXIT_OK;

done:
  clean_up (&serve);
  if (signal_fd >= 0)
    close (signal_fd);
  return exit_status;
}

static bool
start (gbd_serve_t *serve)
{
  lws_set_log_level (LLL_ERR, NULL);
  serve->self = make_instance_id (serve->settings->name);
  serve->zone = gbd_zone_from_name (serve->settings->zone);
  serve->instance_objects = json_object ();

  struct lws_context_creation_info info = {
    .port = CONTEXT_PORT_NO_LISTEN,
    .protocols = gbd_loop_protocols,
    .options
    = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT,
    .user = serve,
  };
  serve->context = lws_create_context (&info);
  if (!serve->context || !start_engine_and_node (serve)
      || !start_sockets (serve))
    return false;

  gbd_serve_set_state (serve, "starting");
  lws_sul_schedule (serve->context, 0, &serve->timer, tick, 1);
  return true;
}

static bool
start_engine_and_node (gbd_serve_t *serve)
{
  const gbd_settings_t *settings = serve->settings;
  uint64_t flow_key;
  memcpy (&flow_key, settings->group_key, sizeof flow_key);
  gbd_engine_settings_t engine = {
    .self = serve->self,
    .zone = serve->zone,
    .flow_key = flow_key,
    .cache_capacity = settings->cache_flows,
    .registry_capacity = settings->registry_flows,
    .hints_per_second = settings->hints_per_second,
    .partition_policy
    = parse_partition_policy (settings->partition_policy_name),
    .policy = gbd_policy_find (settings->policy),
  };
  serve->engine = gbd_engine_new (&engine);
  if (!serve->engine)
    {
      gbd_log (GBD_EVENT_FATAL, gbd_status_strings[GBD_ERROR_MEMORY]);
      return false;
    }

  gbd_node_settings_t node = {
    .membership = {
      .self = serve->self,
      .zone = serve->zone,
      .heartbeat_interval = settings->heartbeat_ms * GBD_MILLISECOND,
      .lease_timeout = settings->lease_timeout_ms * GBD_MILLISECOND,
      .failure_timeout = settings->failure_timeout_ms * GBD_MILLISECOND,
    },
    .bucket_count = settings->bucket_count,
    .move_max = GBD_BALANCE_MOVE_MAX,
    .transfer_bytes_per_second = FLOW_TRANSFER_BYTES_PER_SECOND,
    .watchers = WATCHERS,
  };
  serve->node = gbd_node_new (&node, serve->engine, &node_actions, serve,
                              gbd_serve_now ());
  serve->load = gbd_load_new (serve->self, serve->engine, node_send_message,
                              serve, gbd_serve_now ());
  if (!serve->node || !serve->load)
    gbd_log (GBD_EVENT_FATAL, gbd_status_strings[GBD_ERROR_MEMORY]);
  return serve->node && serve->load;
}

static bool
start_sockets (gbd_serve_t *serve)
{
  const gbd_settings_t *settings = serve->settings;
  const char *error = "out of memory";
  gbd_datapath_settings_t datapath = {
    .fabric_listen = settings->fabric_listen,
    .peer_listen = settings->peer_listen,
    .socket_buffer = SOCKET_BUFFER,
    .clock = gbd_loop_now,
  };
  memcpy (datapath.key, settings->group_key, sizeof datapath.key);
  serve->datapath = gbd_datapath_new (&datapath, serve->engine, &error);
  if (!serve->datapath)
    goto fail;

  gbd_links_settings_t links = {
    .self = serve->self,
    .zone = serve->zone,
    .listen = settings->link_listen,
    .certificate = path_or_null (settings->tls_certificate),
    .key = path_or_null (settings->tls_key),
    .authority = path_or_null (settings->tls_authority),
    .queue_bytes_max = LINK_QUEUE_BYTES,
  };
  snprintf (links.name, sizeof links.name, "%s", settings->name);
  serve->links = gbd_links_new (serve->context, &links,
                                &gbd_serve_links_callbacks, serve, &error);
  if (!serve->links)
    goto fail;

  gbd_admin_settings_t admin = {
    .listen = settings->admin_listen,
    .token = settings->admin_token,
  };
  /* Packets to a loopback address do not leave the machine, so the admin
     interface uses no TLS there; `status`, `dump` and `explain` can connect to
     it. */
  if (!gbd_address_is_loopback (&settings->admin_listen))
    {
      admin.certificate = path_or_null (settings->tls_certificate);
      admin.key = path_or_null (settings->tls_key);
    }
  if (settings->admin_listen.family)
    {
      serve->admin = gbd_admin_new (serve->context, &admin,
                                    &gbd_serve_admin_callbacks, serve, &error);
      if (!serve->admin)
        goto fail;
    }

  gbd_platform_settings_t platform = {
    .platform = settings->platform,
    .call_timeout_ms = CALL_TIMEOUT_MS,
    .watch_wait_ms = WATCH_WAIT_MS,
    .random_seed = serve->self,
  };
  serve->platform = gbd_platform_new (serve->context, &platform);
  if (!serve->platform)
    goto fail;
  return true;

fail:
  gbd_log (GBD_EVENT_FATAL, error);
  return false;
}

static void
clean_up (gbd_serve_t *serve)
{
  lws_sul_cancel (&serve->timer);
  for (int i = 0; i < GBD_WATCH_COUNT; i++)
    gbd_platform_watch_delete (serve->watches[i]);
  gbd_platform_delete (serve->platform);
  gbd_links_delete (serve->links);
  gbd_admin_delete (serve->admin);
  if (serve->context)
    lws_context_destroy (serve->context);
  gbd_node_delete (serve->node);
  gbd_load_delete (serve->load);
  gbd_datapath_delete (serve->datapath);
  gbd_engine_delete (serve->engine);
  gbd_catalog_delete (serve->catalog);
  json_decref (serve->accepted);
  json_decref (serve->instance_objects);
  free (serve->endpoints);
}

static void
handle_packets (void *data, int fd)
{
  gbd_serve_t *serve = data;
  gbd_datapath_receive (serve->datapath, fd);
}

static const char *
path_or_null (const char *path)
{
  return path[0] ? path : NULL;
}

static uint8_t
parse_partition_policy (const char *name)
{
  if (strcmp (name, "known") == 0)
    return GBD_PARTITION_KNOWN;
  return strcmp (name, "any") == 0 ? GBD_PARTITION_ANY : GBD_PARTITION_OWN;
}

static void
handle_signal (void *data, int fd)
{
  gbd_serve_t *serve = data;
  struct signalfd_siginfo info;
  while (read (fd, &info, sizeof info) == (ssize_t)sizeof info)
    {
      if (info.ssi_signo == SIGUSR1)
        gbd_serve_dump (serve);
      else if (info.ssi_signo == SIGHUP)
        reload_certificates (serve);
      else
        begin_stop (serve);
    }
}

static void
reload_certificates (gbd_serve_t *serve)
{
  bool is_loaded = gbd_links_reload (serve->links) == GBD_OK;
  if (serve->admin)
    is_loaded = gbd_admin_reload (serve->admin) == GBD_OK && is_loaded;
  gbd_log (is_loaded ? GBD_EVENT_RELOADED : GBD_EVENT_RELOAD_FAILED);
}

static void
begin_stop (gbd_serve_t *serve)
{
  if (serve->is_stopping)
    return;
  gbd_time_t now = gbd_serve_now ();
  serve->is_stopping = true;
  serve->stop_requested_at = now;
  serve->stop_deadline
      = now + serve->settings->stop_forward_ms * GBD_MILLISECOND;
  gbd_log (GBD_EVENT_STOPPING, serve->settings->stop_forward_ms);
  gbd_serve_set_state (serve, "leaving");
  gbd_node_leave (serve->node, now);
}

/* Continues to forward packets until the fabric has stopped sending to this
   instance, and the instance has left the group or has no connected peers; at
   most until stop_deadline.  Then removes this instance's object from the
   platform and ends the event loop. */
static void
check_stop (gbd_serve_t *serve, gbd_time_t now)
{
  if (!serve->is_stopping)
    return;
  gbd_datapath_stats_t stats;
  gbd_datapath_get_stats (serve->datapath, &stats);
  bool is_fabric_idle = now - stats.last_packet_at > FABRIC_IDLE_TIME
                        && now - serve->stop_requested_at > FABRIC_IDLE_TIME;
  bool has_left = gbd_node_has_left (serve->node, now)
                  || serve->connected_peer_count == 0;
  if ((is_fabric_idle && has_left) || now >= serve->stop_deadline)
    gbd_serve_set_state (serve, "stopped");
  bool is_stopped = strcmp (serve->state, "stopped") == 0;
  bool is_overdue = now >= serve->stop_deadline + GBD_SECOND;
  if (is_stopped && (serve->is_state_written || is_overdue))
    serve->is_done = true;
}

static void
tick (lws_sorted_usec_list_t *timer)
{
  gbd_serve_t *serve = lws_container_of (timer, gbd_serve_t, timer);
  gbd_time_t now = gbd_serve_now ();
  gbd_platform_tick (serve->platform, now);
  gbd_links_tick (serve->links, now);
  gbd_node_tick (serve->node, now);
  gbd_serve_tick_load (serve, now);
  if (!serve->is_stopping && gbd_node_is_joined (serve->node))
    gbd_serve_set_state (serve, "live");
  gbd_serve_write_state (serve, now);
  check_stop (serve, now);
  if (serve->is_done)
    lws_cancel_service (serve->context);
  else
    lws_sul_schedule (serve->context, 0, &serve->timer, tick, TICK_US);
}

static gbd_instance_id_t
make_instance_id (const char *name)
{
  char text[GBD_NAME_MAX + 64];
  struct timespec time;
  clock_gettime (CLOCK_REALTIME, &time);
  snprintf (text, sizeof text, "%s %" PRIdMAX " %ld %d", name,
            (intmax_t)time.tv_sec, time.tv_nsec, (int)getpid ());
  return gbd_id_from_name (text);
}

static void
node_send_message (void *data, gbd_instance_id_t to,
                   const gbd_message_t *message)
{
  gbd_serve_t *serve = data;
  gbd_links_send (serve->links, to, message);
}

static void
node_write_table (void *data, uint64_t object_version,
                  const gbd_table_t *table)
{
  gbd_serve_write_table (data, object_version, table);
}

static void
node_set_watching (void *data, bool is_watching)
{
  gbd_serve_set_watching (data, is_watching);
}

static void
node_send_config (void *data, gbd_instance_id_t to)
{
  gbd_serve_send_config (data, to);
}

static void
node_log_event (void *data, gbd_node_event_t event, gbd_service_id_t service,
                uint64_t number)
{
  gbd_serve_t *serve = data;
  const char *name = "";
  if (service && serve->catalog)
    {
      gbd_service_handle_t service_index
          = gbd_catalog_find_service (serve->catalog, service);
      if (service_index != GBD_SERVICE_NONE)
        name = gbd_catalog_get_service (serve->catalog, service_index)->name;
    }
  switch (event)
    {
    case GBD_NODE_EVENT_TABLE:
      gbd_log (GBD_EVENT_TABLE, name, (unsigned long long)number);
      break;
    case GBD_NODE_EVENT_LEASE:
      gbd_log (GBD_EVENT_TOUCH, lease_descriptions[number]);
      break;
    case GBD_NODE_EVENT_JOINED:
      gbd_log (GBD_EVENT_JOINED, number ? "joined" : "left");
      break;
    case GBD_NODE_EVENT_PEER_UNREACHABLE:
      gbd_log (GBD_EVENT_PEER_SILENT, (unsigned long long)number);
      break;
    case GBD_NODE_EVENT_PEER_REACHABLE:
      gbd_log (GBD_EVENT_PEER_HEARD, (unsigned long long)number);
      break;
    case GBD_NODE_EVENT_COMPLETE:
      gbd_log (GBD_EVENT_COMPLETE, name, (unsigned long long)number);
      break;
    case GBD_NODE_EVENT_NOT_AUTHORITATIVE:
      gbd_log (GBD_EVENT_CLAIMS_BLOCKED, name, (unsigned long long)number);
      break;
    }
}
