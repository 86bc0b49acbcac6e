#include "serve.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gooseberrydrum/accepted.h"
#include "share/log.h"

#define STATE_RETRY GBD_SECOND
#define OBJECT_NAME_MAX (2 * GBD_NAME_MAX + 2)

/* A table that is being written to the platform. */
typedef struct
{
  gbd_serve_t *serve;
  gbd_table_t *table;
} table_write_t;

static gbd_platform_watch_t *start_watch (gbd_serve_t *serve,
                                          gbd_watch_kind_t kind);
static void accepted_changed (void *data, const char *name, uint64_t version,
                              json_t *value);
static void instances_reset (void *data);
static void instance_changed (void *data, const char *name, uint64_t version,
                              json_t *value);
static void instances_confirmed (void *data, gbd_time_t requested_at);
static void table_changed (void *data, const char *name, uint64_t version,
                           json_t *value);
static void tables_confirmed (void *data, gbd_time_t requested_at);
static void ignore_reset (void *data);
static void ignore_confirmed (void *data, gbd_time_t requested_at);
static void table_written (void *data, gbd_status_t status, uint64_t version,
                           json_t *value);
static void state_read (void *data, gbd_status_t status, uint64_t version,
                        json_t *value);
static void state_written (void *data, gbd_status_t status, uint64_t version,
                           json_t *value);
static json_t *make_instance_object (const gbd_serve_t *serve);
static bool parse_instance (const char *name, json_t *value,
                            gbd_listed_instance_t *instance);
static void restart_table_watch (gbd_serve_t *serve);
static bool find_table_service (const gbd_serve_t *serve, const char *name,
                                gbd_service_id_t *service);

static const gbd_platform_watch_callbacks_t watch_callbacks[GBD_WATCH_COUNT]
    = {
        { .reset = ignore_reset,
          .changed = accepted_changed,
          .confirmed = ignore_confirmed },
        { .reset = gbd_serve_endpoints_reset,
          .changed = gbd_serve_endpoint_changed,
          .confirmed = gbd_serve_endpoints_confirmed },
        { .reset = instances_reset,
          .changed = instance_changed,
          .confirmed = instances_confirmed },
        { .reset = ignore_reset,
          .changed = table_changed,
          .confirmed = tables_confirmed },
      };

static const char *const watch_kinds[GBD_WATCH_COUNT]
    = { "accepted", "endpoints", "instances", "tables" };

void
gbd_serve_set_watching (gbd_serve_t *serve, bool is_watching)
{
  for (int i = 0; i < GBD_WATCH_COUNT; i++)
    {
      if (!is_watching)
        {
          gbd_platform_watch_delete (serve->watches[i]);
          serve->watches[i] = NULL;
          continue;
        }
      if (!serve->watches[i])
        serve->watches[i] = start_watch (serve, (gbd_watch_kind_t)i);
    }
  gbd_log (GBD_EVENT_WATCHING, is_watching ? "started" : "stopped");
}

void
gbd_serve_write_table (gbd_serve_t *serve, uint64_t object_version,
                       const gbd_table_t *table)
{
  gbd_service_handle_t service_index
      = gbd_catalog_find_service (serve->catalog, table->service);
  char *text = NULL;
  json_t *value = NULL;
  table_write_t *write = calloc (1, sizeof *write);
  if (!write || service_index == GBD_SERVICE_NONE)
    goto fail;
  write->serve = serve;
  write->table = gbd_table_copy (table);
  text = gbd_table_to_json (table);
  value = text ? json_loads (text, 0, NULL) : NULL;
  if (!write->table || !value)
    goto fail;

  char name[OBJECT_NAME_MAX];
  snprintf (name, sizeof name, "%s.%s", serve->settings->group,
            gbd_catalog_get_service (serve->catalog, service_index)->name);
  gbd_platform_put (serve->platform, "tables", name, object_version, value,
                    gbd_serve_now (), table_written, write);
  json_decref (value);
  free (text);
  return;

fail:
  json_decref (value);
  free (text);
  if (write)
    gbd_table_delete (write->table);
  free (write);
  gbd_node_table_written (serve->node, table->service, GBD_ERROR_MEMORY, 0,
                          NULL, gbd_serve_now ());
}

void
gbd_serve_set_state (gbd_serve_t *serve, const char *state)
{
  if (serve->state && strcmp (serve->state, state) == 0)
    return;
  serve->state = state;
  serve->is_state_written = false;
  serve->state_due = gbd_serve_now ();
  gbd_serve_write_state (serve, serve->state_due);
}

void
gbd_serve_write_state (gbd_serve_t *serve, gbd_time_t now)
{
  if (serve->is_state_written || serve->is_state_pending
      || now < serve->state_due)
    return;
  serve->is_state_pending = true;
  serve->state_due = now + STATE_RETRY;
  gbd_platform_get (serve->platform, "instances", serve->settings->name, false,
                    now, state_read, serve);
}

gbd_status_t
gbd_serve_apply_accepted (gbd_serve_t *serve, json_t *value, gbd_time_t now)
{
  json_int_t generation
      = json_integer_value (json_object_get (value, "generation"));
  if (generation <= 0 || (uint64_t)generation <= serve->generation)
    return GBD_ERROR_STALE;

  gbd_catalog_t *catalog = NULL;
  if (gbd_accepted_to_catalog (value, &catalog) != GBD_OK)
    {
      gbd_log (GBD_EVENT_BAD_ACCEPTED, (long long)generation);
      return GBD_ERROR_FORMAT;
    }
  gbd_status_t status = gbd_node_set_catalog (serve->node, catalog, now);
  if (status != GBD_OK)
    {
      gbd_catalog_delete (catalog);
      return status;
    }
  status = gbd_load_set_catalog (serve->load, catalog);
  if (status != GBD_OK)
    gbd_log (GBD_EVENT_FATAL, gbd_status_strings[status]);
  gbd_catalog_delete (serve->catalog);
  serve->catalog = catalog;
  serve->generation = (uint64_t)generation;
  json_decref (serve->accepted);
  serve->accepted = json_incref (value);
  gbd_log (GBD_EVENT_IN_FORCE, (long long)generation,
           gbd_catalog_get_service_count (catalog),
           gbd_catalog_get_address_count (catalog));
  gbd_serve_apply_backends (serve, now);
  restart_table_watch (serve);
  return GBD_OK;
}

void
gbd_serve_apply_instances (gbd_serve_t *serve, json_t *values)
{
  gbd_address_t links[GBD_INCARNATIONS_MAX];
  const char *names[GBD_INCARNATIONS_MAX];
  uint32_t link_count = 0;
  uint32_t name_count = 0;
  const char *name;
  json_t *value;

  serve->listed_instance_count = 0;
  json_object_foreach (values, name, value)
  {
    gbd_listed_instance_t instance;
    const char *group = json_string_value (json_object_get (value, "group"));
    if (!group || strcmp (group, serve->settings->group) != 0
        || !parse_instance (name, value, &instance)
        || serve->listed_instance_count == GBD_INCARNATIONS_MAX)
      continue;
    serve->listed_instances[serve->listed_instance_count] = instance;
    if (strcmp (name, serve->settings->name) != 0)
      links[link_count++] = instance.link;
    if (!instance.is_leaving)
      names[name_count++]
          = serve->listed_instances[serve->listed_instance_count].name;
    serve->listed_instance_count++;
  }
  gbd_links_set_peers (serve->links, links, link_count);
  gbd_node_set_listed_instances (serve->node, names, name_count);
  gbd_serve_update_peer_addresses (serve);
}

static gbd_platform_watch_t *
start_watch (gbd_serve_t *serve, gbd_watch_kind_t kind)
{
  char prefix[OBJECT_NAME_MAX] = "";
  if (kind == GBD_WATCH_ACCEPTED)
    snprintf (prefix, sizeof prefix, "%s", serve->settings->group);
  if (kind == GBD_WATCH_TABLES)
    snprintf (prefix, sizeof prefix, "%s.", serve->settings->group);
  return gbd_platform_watch_new (serve->platform, watch_kinds[kind], prefix,
                                 gbd_serve_now (), &watch_callbacks[kind],
                                 serve);
}

static void
accepted_changed (void *data, const char *name, uint64_t version,
                  json_t *value)
{
  (void)version;
  gbd_serve_t *serve = data;
  if (!value || strcmp (name, serve->settings->group) != 0)
    return;
  if (gbd_serve_apply_accepted (serve, value, gbd_serve_now ()) == GBD_OK)
    gbd_serve_broadcast_accepted (serve);
}

static void
instances_reset (void *data)
{
  gbd_serve_t *serve = data;
  json_object_clear (serve->instance_objects);
  serve->has_instance_change = true;
}

static void
instance_changed (void *data, const char *name, uint64_t version,
                  json_t *value)
{
  (void)version;
  gbd_serve_t *serve = data;
  /* Links exist only between instances of one group.  An instance of another
     group is ignored, unless `instance_objects` still has an entry for it:
     that instance has left this group. */
  const char *group = json_string_value (json_object_get (value, "group"));
  bool is_own_group = group && strcmp (group, serve->settings->group) == 0;
  bool is_known = json_object_get (serve->instance_objects, name) != NULL;
  if (!is_own_group && !is_known)
    return;
  serve->has_instance_change = true;
  if (value)
    json_object_set (serve->instance_objects, name, value);
  else
    json_object_del (serve->instance_objects, name);
}

static void
instances_confirmed (void *data, gbd_time_t requested_at)
{
  (void)requested_at;
  gbd_serve_t *serve = data;
  if (!serve->has_instance_change)
    return;
  serve->has_instance_change = false;
  gbd_serve_apply_instances (serve, serve->instance_objects);
  gbd_serve_broadcast_instances (serve);
}

static void
table_changed (void *data, const char *name, uint64_t version, json_t *value)
{
  gbd_serve_t *serve = data;
  gbd_service_id_t service;
  if (!value || !find_table_service (serve, name, &service))
    return;
  char *text = json_dumps (value, JSON_COMPACT);
  gbd_table_t *table = text ? gbd_table_from_json (text, strlen (text)) : NULL;
  free (text);
  if (!table)
    {
      gbd_log (GBD_EVENT_BAD_OBJECT, "tables", name);
      return;
    }
  gbd_node_set_platform_table (serve->node, service, version, table,
                               gbd_serve_now ());
}

static void
tables_confirmed (void *data, gbd_time_t requested_at)
{
  gbd_serve_t *serve = data;
  gbd_node_confirm_platform (serve->node, requested_at, gbd_serve_now ());
}

static void
ignore_reset (void *data)
{
  (void)data;
}

static void
ignore_confirmed (void *data, gbd_time_t requested_at)
{
  (void)data;
  (void)requested_at;
}

static void
table_written (void *data, gbd_status_t status, uint64_t version,
               json_t *value)
{
  (void)value;
  table_write_t *write = data;
  gbd_node_table_written (write->serve->node, write->table->service, status,
                          version, write->table, gbd_serve_now ());
  free (write);
}

static void
state_read (void *data, gbd_status_t status, uint64_t version, json_t *value)
{
  (void)value;
  gbd_serve_t *serve = data;
  if (status != GBD_OK && status != GBD_ERROR_NOT_FOUND)
    {
      serve->is_state_pending = false;
      return;
    }
  json_t *state = make_instance_object (serve);
  uint64_t replaced_version = status == GBD_OK ? version : 0;
  if (strcmp (serve->state, "stopped") == 0)
    gbd_platform_remove (serve->platform, "instances", serve->settings->name,
                         replaced_version, gbd_serve_now (), state_written,
                         serve);
  else
    gbd_platform_put (serve->platform, "instances", serve->settings->name,
                      replaced_version, state, gbd_serve_now (), state_written,
                      serve);
  json_decref (state);
}

static void
state_written (void *data, gbd_status_t status, uint64_t version,
               json_t *value)
{
  (void)version;
  (void)value;
  gbd_serve_t *serve = data;
  serve->is_state_pending = false;
  serve->is_state_written = status == GBD_OK || status == GBD_ERROR_NOT_FOUND;
}

static json_t *
make_instance_object (const gbd_serve_t *serve)
{
  char link[GBD_ADDRESS_TEXT_MAX];
  char peer[GBD_ADDRESS_TEXT_MAX];
  char fabric[GBD_ADDRESS_TEXT_MAX];
  gbd_address_format (&serve->settings->link_listen, link);
  gbd_address_format (&serve->settings->peer_listen, peer);
  gbd_address_format (&serve->settings->fabric_listen, fabric);
  char admin[GBD_ADDRESS_TEXT_MAX] = "";
  if (serve->settings->admin_listen.family)
    gbd_address_format (&serve->settings->admin_listen, admin);
  return json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "zone",
                    serve->settings->zone, "group", serve->settings->group,
                    "link", link, "peer", peer, "data", fabric, "admin", admin,
                    "state", serve->state);
}

static bool
parse_instance (const char *name, json_t *value,
                gbd_listed_instance_t *instance)
{
  const char *link = json_string_value (json_object_get (value, "link"));
  const char *peer = json_string_value (json_object_get (value, "peer"));
  const char *state = json_string_value (json_object_get (value, "state"));
  if (!link || !peer || !state || strlen (name) > GBD_NAME_MAX)
    return false;
  memset (instance, 0, sizeof *instance);
  snprintf (instance->name, sizeof instance->name, "%s", name);
  instance->is_leaving = strcmp (state, "leaving") == 0;
  return gbd_address_parse (link, &instance->link) == GBD_OK
         && gbd_address_parse (peer, &instance->peer) == GBD_OK;
}

/* Finds the service whose table a platform object contains, by the object's
   name "GROUP.SERVICE". */
static bool
find_table_service (const gbd_serve_t *serve, const char *name,
                    gbd_service_id_t *service)
{
  size_t group_length = strlen (serve->settings->group);
  if (!serve->catalog
      || strncmp (name, serve->settings->group, group_length) != 0
      || name[group_length] != '.')
    return false;
  *service = gbd_id_from_name (name + group_length + 1);
  return gbd_catalog_find_service (serve->catalog, *service)
         != GBD_SERVICE_NONE;
}

/* Lists all tables again: those of services that the previous accepted
   configuration did not contain were ignored. */
static void
restart_table_watch (gbd_serve_t *serve)
{
  if (!serve->watches[GBD_WATCH_TABLES])
    return;
  gbd_platform_watch_delete (serve->watches[GBD_WATCH_TABLES]);
  serve->watches[GBD_WATCH_TABLES] = start_watch (serve, GBD_WATCH_TABLES);
}
