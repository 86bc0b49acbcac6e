/* Measures the heap memory for each flow, service, bucket, backend server,
   registration and peer.  Each JSON row has the bytes for three numbers of
   entries, and the bytes per entry between the smallest and the largest
   number. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "gooseberrydrum/engine.h"
#include "gooseberrydrum/membership.h"

#define SIZES 3
#define BUCKETS 2048
#define SERVERS 14

/* Structure whose heap memory is measured for several numbers of entries. */
typedef struct
{
  const char *name;
  uint32_t sizes[SIZES];
  void *(*build) (uint32_t size);
  void (*destroy) (void *built);
} structure_t;

static double get_heap_bytes (void);
static gbd_engine_t *new_engine (uint32_t flows, uint32_t registrations);
static gbd_table_t *new_table (gbd_service_id_t service, uint32_t buckets,
                               uint32_t servers);
static void *build_flows (uint32_t size);
static void *build_services (uint32_t size);
static void *build_buckets (uint32_t size);
static void *build_servers (uint32_t size);
static void *build_registrations (uint32_t size);
static void *build_peers (uint32_t size);
static void destroy_engine (void *built);
static void destroy_table (void *built);
static void destroy_membership (void *built);

static const structure_t structures[] = {
  { "flow", { 1U << 16, 1U << 18, 1U << 20 }, build_flows, destroy_engine },
  { "service", { 16, 128, 1024 }, build_services, destroy_engine },
  { "bucket", { 512, 2048, 8192 }, build_buckets, destroy_table },
  { "backend server", { 14, 140, 1400 }, build_servers, destroy_table },
  { "registration",
    { 1000, 10000, 100000 },
    build_registrations,
    destroy_engine },
  { "peer", { 8, 16, 64 }, build_peers, destroy_membership },
};

int
main (void)
{
  for (size_t i = 0; i < sizeof structures / sizeof structures[0]; i++)
    {
      const structure_t *structure = &structures[i];
      double bytes[SIZES];
      for (int size = 0; size < SIZES; size++)
        {
          double before = get_heap_bytes ();
          void *built = structure->build (structure->sizes[size]);
          if (!built)
            return EXIT_FAILURE;
          bytes[size] = get_heap_bytes () - before;
          structure->destroy (built);
        }
      double slope = (bytes[2] - bytes[0])
                     / (structure->sizes[2] - structure->sizes[0]);
      printf ("{\"bench\":\"memory\",\"of\":\"%s\",\"sizes\":[%u,%u,%u],"
              "\"bytes\":[%.0f,%.0f,%.0f],\"bytes_each\":%.1f}\n",
              structure->name, structure->sizes[0], structure->sizes[1],
              structure->sizes[2], bytes[0], bytes[1], bytes[2], slope);
    }
  return EXIT_SUCCESS;
}

static double
get_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

static gbd_engine_t *
new_engine (uint32_t flows, uint32_t registrations)
{
  gbd_engine_settings_t settings = {
    .self = 1,
    .zone = 1,
    .flow_key = 7,
    .cache_capacity = flows,
    .registry_capacity = registrations,
    .policy = &gbd_policy_replicas,
  };
  return gbd_engine_new (&settings);
}

static gbd_table_t *
new_table (gbd_service_id_t service, uint32_t buckets, uint32_t servers)
{
  gbd_member_t member = { 1, 1 };
  gbd_backend_t *backends = calloc (servers, sizeof *backends);
  for (uint32_t i = 0; backends && i < servers; i++)
    {
      backends[i].id = i + 1;
      backends[i].address.family = 4;
    }
  gbd_table_t *table
      = gbd_table_new (service, buckets, backends, servers, &member, 1);
  free (backends);
  return table;
}

static void *
build_flows (uint32_t size)
{
  return new_engine (size, 1024);
}

static void *
build_services (uint32_t size)
{
  static gbd_catalog_t *catalog;
  gbd_engine_t *engine = new_engine (1024, 1024);
  gbd_plan_t plan = { .name = "plan", .idle_limit_s = 60 };
  gbd_catalog_delete (catalog);
  catalog = gbd_catalog_new (1);
  gbd_catalog_add_plan (catalog, &plan);
  gbd_catalog_add_customer (catalog, "customer", 0);
  for (uint32_t i = 0; i < size; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "service-%u", i);
      gbd_catalog_add_service (catalog, name, 0);
    }
  gbd_engine_set_catalog (engine, catalog);
  for (uint32_t i = 0; i < size; i++)
    {
      gbd_service_id_t id = gbd_catalog_get_service (catalog, i)->id;
      gbd_engine_set_table (engine, new_table (id, BUCKETS, SERVERS), 0);
    }
  return engine;
}

static void *
build_buckets (uint32_t size)
{
  return new_table (1, size, SERVERS);
}

static void *
build_servers (uint32_t size)
{
  return new_table (1, BUCKETS, size);
}

static void *
build_registrations (uint32_t size)
{
  gbd_catalog_t *catalog = gbd_catalog_new (1);
  gbd_plan_t plan = { .name = "plan", .idle_limit_s = 60 };
  gbd_catalog_add_plan (catalog, &plan);
  gbd_catalog_add_customer (catalog, "customer", 0);
  gbd_catalog_add_service (catalog, "service", 0);
  gbd_service_id_t id = gbd_catalog_get_service (catalog, 0)->id;
  gbd_engine_t *engine = new_engine (1024, size);
  gbd_engine_set_catalog (engine, catalog);
  gbd_engine_set_table (engine, new_table (id, BUCKETS, SERVERS), 0);
  /* The first entry allocates the memory for all entries. */
  gbd_flow_entry_t entry = { 1, 1 };
  gbd_engine_merge (engine, id, GBD_FLOWS_EXCEPTION, &entry, 1, 0);
  gbd_catalog_delete (catalog);
  return engine;
}

static void *
build_peers (uint32_t size)
{
  gbd_membership_settings_t settings = { .self = 1, .zone = 1 };
  gbd_membership_t *membership = gbd_membership_new (&settings, 0);
  for (uint32_t i = 0; membership && i < size; i++)
    gbd_membership_add_peer (membership, i + 2, 1, "peer", 0);
  return membership;
}

static void
destroy_engine (void *built)
{
  gbd_engine_delete (built);
}

static void
destroy_table (void *built)
{
  gbd_table_delete (built);
}

static void
destroy_membership (void *built)
{
  gbd_membership_delete (built);
}
