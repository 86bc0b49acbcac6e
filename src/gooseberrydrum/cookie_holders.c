#include "cookie_serve.h"

#include <glib.h>

static bool is_complete (const gbd_cookie_serve_t *serve);
static void announce (gbd_cookie_serve_t *serve, gbd_time_t now);
static void announcement_done (void *data, gbd_status_t status,
                               uint64_t version, json_t *value);

void
gbd_cookie_holders_init (gbd_cookie_serve_t *serve)
{
  gbd_cookie_set_relay_argument (serve);
  serve->holder_asked_at = GBD_TIME_NEVER;
  for (uint32_t i = 0; i < GBD_SOURCES_MAX; i++)
    serve->announcements[i].announced_at = GBD_TIME_NEVER;
}

void
gbd_cookie_holders_tick (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  gbd_cookie_set_relay_argument (serve);
  announce (serve, now);
}

void
gbd_cookie_set_relay_argument (gbd_cookie_serve_t *serve)
{
  bool has_documents
      = serve->has_key && gbd_director_get_routes (serve->director);
  GString *text = g_string_new (has_documents ? "" : "&documents=1");
  if (serve->peer_server)
    {
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&serve->settings->relay_listen, address);
      g_string_append_printf (text, "&from=%s", address);
      if (serve->settings->group_view)
        {
          char *zone
              = g_uri_escape_string (serve->settings->zone, NULL, FALSE);
          g_string_append_printf (text, "&zone=%s", zone);
          g_free (zone);
        }
    }
  if (serve->evacuations)
    g_string_append_printf (
        text, "&evacuations=%" G_GUINT64_FORMAT,
        gbd_director_peek_evacuations (serve->director)->position);
  g_strlcpy (serve->relay_argument, text->len ? text->str + 1 : "",
             sizeof serve->relay_argument);
  g_string_free (text, TRUE);
}

void
gbd_cookie_holder_seen (void *data, const gbd_address_t *holder)
{
  gbd_cookie_serve_t *serve = data;
  if (!gbd_start_may_ask_holder (is_complete (serve), serve->holder_asked_at,
                                 serve->clock (NULL)))
    return;
  serve->holder = *holder;
  serve->is_holder_due = true;
}

/* Whether this instance has list, key and routes. */
static bool
is_complete (const gbd_cookie_serve_t *serve)
{
  return serve->list_version && gbd_director_is_ready (serve->director);
}

/* Announces this instance to relays that have not responded: they may start
   again without a list while the platform is unreachable. */
static void
announce (gbd_cookie_serve_t *serve, gbd_time_t now)
{
  const gbd_pool_t *pool = gbd_director_peek_pool (serve->director);
  uint32_t reader_count
      = (uint32_t)(serve->sources.probe_interval / GBD_SOURCES_PROBE_SPACING);
  if (!is_complete (serve) || !serve->settings->relay_listen.family)
    return;
  for (uint32_t i = 0; i < serve->sources.count; i++)
    {
      gbd_announcement_t *announcement = &serve->announcements[i];
      if (i == serve->sources.platform || announcement->is_requested
          || !gbd_start_may_announce (gbd_pool_is_platform_unreachable (pool),
                                      !announcement->is_unanswered,
                                      reader_count, announcement->announced_at,
                                      now))
        continue;
      char address[GBD_ADDRESS_TEXT_MAX];
      gbd_address_format (&serve->settings->relay_listen, address);
      announcement->is_requested = true;
      announcement->announced_at = now;
      gbd_platform_get (serve->clients[i], GBD_RELAY_HOLDERS_KIND, address,
                        false, now, announcement_done, announcement);
    }
}

static void
announcement_done (void *data, gbd_status_t status, uint64_t version,
                   json_t *value)
{
  (void)version;
  (void)value;
  gbd_announcement_t *announcement = data;
  announcement->is_requested = false;
  announcement->is_unanswered = status == GBD_ERROR_UNAVAILABLE;
}
