/* Exchange of reports on backend servers.  An instance sends its reports to
   the relays; each relay forwards what it gets to its readers.  See
   docs/design/reports.md. */
#include "cookie_serve.h"

#include <unistd.h>

#include <glib.h>

#include "report_codec.h"
#include "share/udp.h"

/* Time between an observation and its report, in which more are collected. */
#define COLLECT_TIME (20 * GBD_MILLISECOND)
/* Least time between two transmissions. */
#define SEND_INTERVAL (50 * GBD_MILLISECOND)
/* Batches that wait at a relay; the oldest is dropped for a further one. */
#define QUEUE_MAX 64
/* Bytes that a relay may forward: a tenth of a link of 10 Mbit/s, and as much
   at once as one datagram to each of 100 readers. */
#define FORWARD_BYTES_PER_S 120000
#define FORWARD_BYTES_MAX 120000
#define UDP_HEADERS 28 /* bytes of IPv4 and UDP headers */
#define DATAGRAMS_PER_CALL 32
#define SOCKET_BUFFER (64 * 1024) /* bytes */

struct gbd_cookie_reports
{
  gbd_cookie_serve_t *serve;
  int fd;
  gbd_reports_t *reports;
  uint64_t origin;
  uint64_t number; /* of the last batch */
  gbd_time_t sent_at;
  bool is_scheduled;
  lws_sorted_usec_list_t timer;
  GArray *queue; /* of gbd_report_batch_t, to be forwarded */
  gbd_time_t budget_at;
  double budget; /* bytes */
  gbd_cookie_reports_stats_t stats;
};

static void schedule (gbd_cookie_reports_t *exchange, gbd_time_t now);
static void send_due (lws_sorted_usec_list_t *timer);
static void collect (gbd_cookie_reports_t *exchange, gbd_time_t now);
static bool collect_batch (gbd_cookie_reports_t *exchange, uint32_t *position,
                           gbd_report_batch_t *batch);
static void send_to_relays (gbd_cookie_reports_t *exchange,
                            const gbd_report_batch_t *batch, gbd_time_t now);
static void enqueue (gbd_cookie_reports_t *exchange,
                     const gbd_report_batch_t *batch);
static void forward (gbd_cookie_reports_t *exchange, gbd_time_t now);
static uint32_t count_readers (const gbd_cookie_serve_t *serve,
                               gbd_time_t now);
static void send_to (gbd_cookie_reports_t *exchange,
                     const gbd_address_t *instance, const uint8_t *bytes,
                     size_t length);
static void receive_batch (void *data, const gbd_report_batch_t *batch,
                           bool is_forwarded);
static void apply (gbd_cookie_reports_t *exchange, const gbd_report_t *report,
                   gbd_time_t now);
static bool is_silent (const gbd_pool_t *pool, gbd_backend_id_t id,
                       gbd_time_t now);
static void log_report (gbd_cookie_reports_t *exchange,
                        const gbd_report_t *report, gbd_time_t now);
static void log_failing (gbd_cookie_serve_t *serve, gbd_time_t now);

void
gbd_cookie_reports_start (gbd_cookie_serve_t *serve)
{
  const gbd_address_t *listen = &serve->settings->reports_listen;
  if (!listen->family)
    return;
  /* A restarted instance counts its batches from 1, so it is another
     origin. */
  uint64_t origin = gbd_rendezvous_weight (
      gbd_id_from_name (serve->settings->name), serve->random_value);
  gbd_reports_t *reports
      = gbd_reports_new (origin, gbd_zone_from_name (serve->settings->zone));
  int fd = reports ? gbd_udp_listen (listen, SOCKET_BUFFER) : -1;
  /* An instance can work without reports, so this failure is not fatal. */
  if (fd < 0)
    {
      gbd_event_log_emit (
          serve->event_log, GBD_EVENT_BAD_SETTING, serve->started_at,
          json_pack ("{s:s, s:s}", "setting", "reports-listen", "cause",
                     "cannot bind the UDP address; use an address of this "
                     "host and a free port"));
      gbd_reports_delete (reports);
      return;
    }
  gbd_cookie_reports_t *exchange = g_new0 (gbd_cookie_reports_t, 1);
  exchange->serve = serve;
  exchange->fd = fd;
  exchange->origin = origin;
  exchange->reports = reports;
  exchange->queue = g_array_new (FALSE, FALSE, sizeof (gbd_report_batch_t));
  exchange->budget = FORWARD_BYTES_MAX;
  serve->reports = exchange;
}

void
gbd_cookie_reports_stop (gbd_cookie_serve_t *serve)
{
  gbd_cookie_reports_t *exchange = serve->reports;
  if (!exchange)
    return;
  lws_sul_cancel (&exchange->timer);
  close (exchange->fd);
  gbd_reports_delete (exchange->reports);
  g_array_free (exchange->queue, TRUE);
  g_free (exchange);
  serve->reports = NULL;
}

int
gbd_cookie_reports_get_fd (const gbd_cookie_serve_t *serve)
{
  return serve->reports ? serve->reports->fd : -1;
}

void
gbd_cookie_reports_receive (gbd_cookie_serve_t *serve)
{
  gbd_cookie_reports_t *exchange = serve->reports;
  for (int i = 0; i < DATAGRAMS_PER_CALL; i++)
    {
      uint8_t bytes[GBD_REPORT_DATAGRAM_MAX];
      ssize_t length = recv (exchange->fd, bytes, sizeof bytes, 0);
      if (length < 0)
        break;
      gbd_time_t now = serve->clock (NULL);
      exchange->stats.datagrams_received++;
      if (!serve->has_key
          || gbd_report_decode (bytes, (size_t)length, serve->key, now,
                                receive_batch, exchange)
                 != GBD_OK)
        exchange->stats.malformed++;
    }
  if (exchange->queue->len > 0)
    schedule (exchange, serve->clock (NULL));
}

void
gbd_cookie_reports_check (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_reports_t *exchange = serve->reports;
  if (exchange
      && gbd_pool_has_unreported (gbd_director_get_pool (serve->director)))
    schedule (exchange, now);
}

void
gbd_cookie_reports_get_stats (const gbd_cookie_serve_t *serve,
                              gbd_cookie_reports_stats_t *stats)
{
  *stats = serve->reports->stats;
}

void
gbd_cookie_reports_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_reports_check (serve, now);
  log_failing (serve, now);
}

static void
schedule (gbd_cookie_reports_t *exchange, gbd_time_t now)
{
  if (exchange->is_scheduled)
    return;
  gbd_time_t due = exchange->sent_at + SEND_INTERVAL;
  if (due < now + COLLECT_TIME)
    due = now + COLLECT_TIME;
  exchange->is_scheduled = true;
  lws_sul_schedule (exchange->serve->context, 0, &exchange->timer, send_due,
                    due - now);
}

static void
send_due (lws_sorted_usec_list_t *timer)
{
  gbd_cookie_reports_t *exchange
      = lws_container_of (timer, gbd_cookie_reports_t, timer);
  gbd_time_t now = exchange->serve->clock (NULL);
  exchange->is_scheduled = false;
  exchange->sent_at = now;
  collect (exchange, now);
  if (exchange->queue->len > 0)
    forward (exchange, now);
  if (exchange->queue->len > 0)
    schedule (exchange, now);
}

/* Sends the reports of this instance. */
static void
collect (gbd_cookie_reports_t *exchange, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = exchange->serve;
  gbd_report_batch_t batch;
  uint32_t position = 0;
  while (collect_batch (exchange, &position, &batch))
    {
      exchange->stats.reports_sent += batch.count;
      if (serve->has_key)
        send_to_relays (exchange, &batch, now);
      if (gbd_cookie_servers_is_relay (serve))
        enqueue (exchange, &batch);
    }
}

static bool
collect_batch (gbd_cookie_reports_t *exchange, uint32_t *position,
               gbd_report_batch_t *batch)
{
  gbd_cookie_serve_t *serve = exchange->serve;
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  batch->count = 0;
  while (
      batch->count < GBD_REPORT_BATCH_MAX
      && gbd_reports_collect (pool, position, &batch->reports[batch->count]))
    batch->count++;
  if (batch->count == 0)
    return false;
  batch->origin = (gbd_report_origin_t){
    .origin = exchange->origin,
    .zone = gbd_zone_from_name (serve->settings->zone),
    .number = ++exchange->number,
  };
  return true;
}

static void
send_to_relays (gbd_cookie_reports_t *exchange,
                const gbd_report_batch_t *batch, gbd_time_t now)
{
  const gbd_settings_t *settings = exchange->serve->settings;
  uint8_t bytes[GBD_REPORT_DATAGRAM_MAX];
  uint32_t count = 1;
  size_t length = gbd_report_encode (batch, &count, false,
                                     exchange->serve->key, now, bytes);
  for (uint32_t i = 0; i < settings->relays.count; i++)
    if (!gbd_address_is_equal (&settings->relays.addresses[i],
                               &settings->relay_listen))
      send_to (exchange, &settings->relays.addresses[i], bytes, length);
}

static void
enqueue (gbd_cookie_reports_t *exchange, const gbd_report_batch_t *batch)
{
  if (exchange->queue->len == QUEUE_MAX)
    {
      exchange->stats.reports_dropped
          += g_array_index (exchange->queue, gbd_report_batch_t, 0).count;
      g_array_remove_index (exchange->queue, 0);
    }
  g_array_append_vals (exchange->queue, batch, 1);
}

/* Sends the queue to the readers of this relay while the budget lasts. */
static void
forward (gbd_cookie_reports_t *exchange, gbd_time_t now)
{
  gbd_cookie_serve_t *serve = exchange->serve;
  uint32_t readers = count_readers (serve, now);
  exchange->budget += (double)(now - exchange->budget_at) / GBD_SECOND
                      * FORWARD_BYTES_PER_S;
  exchange->budget = MIN (exchange->budget, FORWARD_BYTES_MAX);
  exchange->budget_at = now;
  if (readers == 0 || !serve->has_key)
    g_array_set_size (exchange->queue, 0);
  while (exchange->queue->len > 0 && exchange->budget > 0)
    {
      uint8_t bytes[GBD_REPORT_DATAGRAM_MAX];
      uint32_t count = exchange->queue->len;
      size_t length = gbd_report_encode (
          &g_array_index (exchange->queue, gbd_report_batch_t, 0), &count,
          true, serve->key, now, bytes);
      gbd_address_t reader;
      uint32_t position = 0;
      while (gbd_cookie_members_next_reader (serve, &position, &reader, now))
        send_to (exchange, &reader, bytes, length);
      exchange->budget -= (double)(readers * (length + UDP_HEADERS));
      g_array_remove_range (exchange->queue, 0, count);
    }
}

static uint32_t
count_readers (const gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_address_t reader;
  uint32_t position = 0;
  uint32_t count = 0;
  while (gbd_cookie_members_next_reader (serve, &position, &reader, now))
    count++;
  return count;
}

/* Sends a datagram to an instance, which receives reports at the same port as
   this one.  Losses need no handling, as an observation is made again. */
static void
send_to (gbd_cookie_reports_t *exchange, const gbd_address_t *instance,
         const uint8_t *bytes, size_t length)
{
  gbd_address_t address = *instance;
  address.port = exchange->serve->settings->reports_listen.port;
  struct sockaddr_storage name;
  socklen_t name_length = gbd_udp_to_sockaddr (&address, &name);
  if (length > 0
      && sendto (exchange->fd, bytes, length, MSG_DONTWAIT,
                 (const struct sockaddr *)&name, name_length)
             >= 0)
    exchange->stats.bytes_sent += length;
  else
    exchange->stats.send_errors++;
}

static void
receive_batch (void *data, const gbd_report_batch_t *batch, bool is_forwarded)
{
  gbd_cookie_reports_t *exchange = data;
  gbd_cookie_serve_t *serve = exchange->serve;
  gbd_time_t now = serve->clock (NULL);
  if (!gbd_reports_accept (exchange->reports, &batch->origin, now))
    return;
  for (uint32_t i = 0; i < batch->count; i++)
    apply (exchange, &batch->reports[i], now);
  if (!is_forwarded && gbd_cookie_servers_is_relay (serve))
    enqueue (exchange, batch);
}

static void
apply (gbd_cookie_reports_t *exchange, const gbd_report_t *report,
       gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (exchange->serve->director);
  bool was_silent = is_silent (pool, report->server, now);
  gbd_status_t status
      = gbd_reports_apply (exchange->reports, pool, report, now);
  if (status == GBD_OK)
    exchange->stats.reports_applied++;
  else if (status == GBD_ERROR_CONFLICT)
    exchange->stats.reports_distrusted++;
  else
    exchange->stats.reports_outdated++;
  if (!was_silent && is_silent (pool, report->server, now))
    log_report (exchange, report, now);
}

static bool
is_silent (const gbd_pool_t *pool, gbd_backend_id_t id, gbd_time_t now)
{
  gbd_pool_handle_t handle = gbd_pool_find (pool, gbd_cookie_fingerprint (id));
  if (handle == GBD_POOL_NONE)
    return false;
  const gbd_pool_load_t *load = &gbd_pool_peek (pool, handle)->load;
  return gbd_peer_evidence_is_silent (&load->peer_evidence,
                                      load->suspicion.last_response_at, now);
}

static void
log_report (gbd_cookie_reports_t *exchange, const gbd_report_t *report,
            gbd_time_t now)
{
  gbd_cookie_serve_t *serve = exchange->serve;
  if (!gbd_event_log_admit (serve->event_log, GBD_EVENT_SERVER_REPORTED, now))
    return;
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  const gbd_pool_server_t *server = gbd_pool_peek (
      pool, gbd_pool_find (pool, gbd_cookie_fingerprint (report->server)));
  const gbd_peer_evidence_t *evidence = &server->load.peer_evidence;
  gbd_event_log_write (
      serve->event_log, GBD_EVENT_SERVER_REPORTED,
      json_pack ("{s:s, s:I, s:i, s:b}", "server", server->entry.name,
                 "unanswered_ms",
                 (json_int_t)((now - evidence->silent_at) / GBD_MILLISECOND),
                 "reports", (int)evidence->count, "confirmed",
                 evidence->is_confirmed));
}

/* Logs which servers have begun or ceased to fail. */
static void
log_failing (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_pool_t *pool = gbd_director_get_pool (serve->director);
  uint32_t capacity = gbd_pool_get_capacity (pool);
  for (uint32_t i = 0; i < capacity; i++)
    {
      gbd_pool_server_t *server = gbd_pool_get (pool, (gbd_pool_handle_t)i);
      gbd_failing_t *failing = &server->load.failing;
      if (!server->is_used || !gbd_failing_take_change (failing)
          || !gbd_event_log_admit (serve->event_log, GBD_EVENT_SERVER_FAILING,
                                   now))
        continue;
      gbd_event_log_write (serve->event_log, GBD_EVENT_SERVER_FAILING,
                           json_pack ("{s:s, s:b, s:f}", "server",
                                      server->entry.name, "failing",
                                      failing->is_failing, "failed_requests",
                                      gbd_failing_get_count (failing, now)));
    }
}
