/* Members of the group.  Relays ask each other for theirs and count; a reader
   keeps the view that its relay sends.  See docs/design/members.md. */
#include "cookie_serve.h"

#include <glib.h>

#include "platform_http.h"
#include "relay_api.h"
#include "relay_members.h"

/* Time between two requests to one relay.  With three relays there are six
   requests a second. */
#define EXCHANGE_INTERVAL GBD_SECOND
/* A relay responds within some milliseconds, and after about 100 ms while its
   CPU is busy. */
#define EXCHANGE_TIMEOUT (500 * GBD_MILLISECOND)
/* A longer time between two ticks means that the process was paused. */
#define PROCESS_PAUSE_MIN (700 * GBD_MILLISECOND)
/* Time after the start in which a missing view is not reported: relays may
   start later than this instance, and need GBD_MEMBERS_SETTLING. */
#define FIRST_VIEW_TIME (15 * GBD_SECOND)
#define MEMBERS_PATH GBD_RELAY_PREFIX GBD_RELAY_MEMBERS_KIND

/* Requests to one other relay. */
typedef struct
{
  gbd_cookie_serve_t *serve;
  uint32_t peer;
  gbd_http_t *http;
  gbd_http_call_t *call; /* NULL: none in progress */
  gbd_time_t due;
  gbd_time_t timeout_at;
} exchange_t;

struct gbd_cookie_members
{
  gbd_members_t *table; /* NULL if this instance is not a relay */
  exchange_t exchanges[GBD_MEMBERS_PEERS_MAX];
  uint32_t exchange_count;
  gbd_kept_view_t kept;
  gbd_time_t last_tick_at;
  uint64_t request_count;
  bool is_known;      /* at the last tick */
  bool is_reported;   /* the loss was logged */
  gbd_time_t lost_at; /* time since which there is no view */
};

static bool start_exchanges (gbd_cookie_serve_t *serve);
static void ask (exchange_t *exchange, gbd_time_t now);
static void receive_members (void *data, const gbd_http_response_t *response);
static void report_change (gbd_cookie_serve_t *serve,
                           const gbd_group_view_t *view, gbd_time_t now);

bool
gbd_cookie_members_start (gbd_cookie_serve_t *serve, const char **error)
{
  if (!serve->settings->group_view)
    return true;
  serve->members = g_new0 (gbd_cookie_members_t, 1);
  serve->members->lost_at = serve->started_at;
  if (!serve->relay || start_exchanges (serve))
    return true;
  *error = "cannot create the clients of other relays; raise the memory limit";
  return false;
}

void
gbd_cookie_members_stop (gbd_cookie_serve_t *serve)
{
  gbd_cookie_members_t *members = serve->members;
  if (!members)
    return;
  if (serve->relay)
    gbd_relay_set_members (serve->relay, NULL);
  for (uint32_t i = 0; i < members->exchange_count; i++)
    {
      if (members->exchanges[i].call)
        gbd_http_cancel (members->exchanges[i].call);
      gbd_http_delete (members->exchanges[i].http);
    }
  gbd_members_delete (members->table);
  g_free (members);
  serve->members = NULL;
}

void
gbd_cookie_members_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_members_t *members = serve->members;
  if (!members)
    return;
  if (members->table && members->last_tick_at
      && now - members->last_tick_at > PROCESS_PAUSE_MIN)
    gbd_members_resume (members->table, now);
  members->last_tick_at = now;
  for (uint32_t i = 0; i < members->exchange_count; i++)
    ask (&members->exchanges[i], now);
  if (members->table)
    {
      gbd_group_view_t own;
      gbd_members_get_view (members->table, &serve->settings->relay_listen,
                            &own, now);
      gbd_kept_view_update (&members->kept, &own,
                            gbd_members_is_complete (members->table, now),
                            now);
    }
  gbd_group_view_t view = gbd_kept_view_get (&members->kept, now);
  gbd_director_set_group (serve->director, &view);
  report_change (serve, &view, now);
}

void
gbd_cookie_members_receive (void *data, const json_t *value)
{
  const gbd_cookie_serve_t *serve = data;
  gbd_group_view_t view;
  bool is_complete;
  /* A relay counts by itself. */
  if (!serve->members || serve->members->table
      || !gbd_relay_read_view (value, &view, &is_complete))
    return;
  gbd_kept_view_update (&serve->members->kept, &view, is_complete,
                        serve->clock (NULL));
}

bool
gbd_cookie_members_next_reader (const gbd_cookie_serve_t *serve,
                                uint32_t *position, gbd_address_t *reader,
                                gbd_time_t now)
{
  gbd_group_member_t member;
  const gbd_members_t *table = serve->members ? serve->members->table : NULL;
  while (table && gbd_members_next_own (table, position, &member, now))
    {
      *reader = member.address;
      if (!gbd_address_is_equal (reader, &serve->settings->relay_listen))
        return true;
    }
  return false;
}

json_t *
gbd_cookie_members_describe (const gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_cookie_members_t *members = serve->members;
  gbd_group_view_t view = gbd_kept_view_get (&members->kept, now);
  if (!view.total)
    return json_pack ("{s:b}", "known", false);
  return json_pack (
      "{s:b, s:i, s:i, s:i, s:I}", "known", true, "instances", (int)view.total,
      "zone_instances", (int)view.zone_count, "zone_rank", (int)view.zone_rank,
      "age_ms",
      (json_int_t)((now - members->kept.received_at) / GBD_MILLISECOND));
}

void
gbd_cookie_members_get_stats (const gbd_cookie_serve_t *serve,
                              gbd_cookie_members_stats_t *stats,
                              gbd_time_t now)
{
  const gbd_cookie_members_t *members = serve->members;
  stats->view = gbd_kept_view_get (&members->kept, now);
  stats->age = stats->view.total ? now - members->kept.received_at : 0;
  stats->requests = members->request_count;
}

static bool
start_exchanges (gbd_cookie_serve_t *serve)
{
  gbd_cookie_members_t *members = serve->members;
  const gbd_settings_t *settings = serve->settings;
  const gbd_address_t *self = &settings->relay_listen;
  for (uint32_t i = 0; i < settings->relays.count; i++)
    {
      const gbd_address_t *address = &settings->relays.addresses[i];
      if (gbd_address_is_equal (address, self))
        continue;
      gbd_http_t *http = gbd_http_new (serve->context, address);
      if (!http)
        return false;
      uint32_t peer = members->exchange_count++;
      members->exchanges[peer]
          = (exchange_t){ .serve = serve, .peer = peer, .http = http };
    }
  members->table = gbd_members_new (
      self, settings->zone, members->exchange_count, serve->started_at);
  if (members->table)
    gbd_relay_set_members (serve->relay, members->table);
  return members->table;
}

/* Sends the next request if it is due, and abandons one that has timed out. */
static void
ask (exchange_t *exchange, gbd_time_t now)
{
  if (exchange->call && now >= exchange->timeout_at)
    {
      gbd_http_cancel (exchange->call);
      exchange->call = NULL;
    }
  if (exchange->call || now < exchange->due)
    return;
  exchange->due = now + EXCHANGE_INTERVAL;
  exchange->timeout_at = now + EXCHANGE_TIMEOUT;
  exchange->serve->members->request_count++;
  exchange->call = gbd_http_start (exchange->http, "GET", MEMBERS_PATH, NULL,
                                   receive_members, exchange);
}

static void
receive_members (void *data, const gbd_http_response_t *response)
{
  exchange_t *exchange = data;
  gbd_cookie_serve_t *serve = exchange->serve;
  gbd_members_t *table = serve->members->table;
  gbd_time_t now = serve->clock (NULL);
  exchange->call = NULL;
  if (response->outcome != GBD_HTTP_COMPLETED)
    return;
  if (response->status != HTTP_STATUS_OK
      || !gbd_relay_merge_members (table, exchange->peer, response->body,
                                   response->length, now))
    gbd_members_record_refusal (table, exchange->peer, now);
}

/* Logs that the view is lost, and that it is complete again, but no other
   changes. */
static void
report_change (gbd_cookie_serve_t *serve, const gbd_group_view_t *view,
               gbd_time_t now)
{
  gbd_cookie_members_t *members = serve->members;
  bool was_known = members->is_known;
  members->is_known = view->total > 0;
  if (was_known && !members->is_known)
    members->lost_at = now;
  bool is_first_view_due
      = !members->kept.received_at && now - members->lost_at < FIRST_VIEW_TIME;
  if (!members->is_known && !members->is_reported && !is_first_view_due)
    {
      members->is_reported = true;
      gbd_event_log_emit (
          serve->event_log, GBD_EVENT_GROUP_LOST, now,
          json_pack ("{s:s, s:i}", "list_from",
                     gbd_cookie_servers_use_platform (serve) ? "platform"
                                                             : "relay",
                     "instances_before", (int)members->kept.view.total));
    }
  if (!members->is_known || !members->is_reported)
    return;
  members->is_reported = false;
  gbd_event_log_emit (
      serve->event_log, GBD_EVENT_GROUP_KNOWN, now,
      json_pack ("{s:i, s:i, s:i, s:I}", "instances", (int)view->total,
                 "zone_instances", (int)view->zone_count, "zone_rank",
                 (int)view->zone_rank, "away_ms",
                 (json_int_t)((now - members->lost_at) / GBD_MILLISECOND)));
}
