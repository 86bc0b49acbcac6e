#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "gooseberrydrum/engine.h"
#include "gooseberrydrum/limits.h"

#define SELF 1
#define SERVERS 4
#define FLOOD_PER_SECOND 100000
#define FLOOD_SECONDS 10
#define LIMIT_PER_SECOND 2000
#define QUIET_FLOWS 500
#define STEPS_PER_SECOND 1000

/* One instance with a customer that is flooded and one with little traffic. */
typedef struct
{
  gbd_catalog_t *catalog;
  gbd_engine_t *engine;
  gbd_limits_t *limits;
  gbd_address_t flooded;
  gbd_address_t quiet;
  gbd_time_t now;
  uint32_t forwarded;
  uint32_t refused;
} fixture_t;

static gbd_service_id_t
add_customer (fixture_t *fixture, const char *name, const char *service,
              const char *text, gbd_address_t *address)
{
  gbd_plan_t plan = {
    .open_flows = 1000000,
    .new_flows_per_second = LIMIT_PER_SECOND,
    .idle_limit_s = 3600,
  };
  uint32_t plan_index = gbd_catalog_add_plan (fixture->catalog, &plan);
  uint32_t customer
      = gbd_catalog_add_customer (fixture->catalog, name, plan_index);
  gbd_service_handle_t handle
      = gbd_catalog_add_service (fixture->catalog, service, customer);
  assert_int_equal (gbd_address_parse (text, address), GBD_OK);
  assert_int_equal (
      gbd_catalog_add_address (fixture->catalog, address, handle), GBD_OK);
  return gbd_catalog_get_service (fixture->catalog, handle)->id;
}

static void
add_table (fixture_t *fixture, gbd_service_id_t service, uint16_t first_port)
{
  gbd_member_t member = { SELF, 1 };
  gbd_backend_t backends[SERVERS] = { 0 };
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      backends[i].id = first_port + i;
      gbd_address_parse ("127.0.0.1:1", &backends[i].address);
      backends[i].address.port = (uint16_t)(first_port + i);
    }
  gbd_table_t *table
      = gbd_table_new (service, 256, backends, SERVERS, &member, 1);
  assert_non_null (table);
  table->version = 1;
  assert_int_equal (
      gbd_engine_set_table (fixture->engine, table, fixture->now), GBD_OK);
  gbd_engine_set_complete (fixture->engine, service, true);
}

static int
setup (void **state)
{
  static fixture_t fixture;
  memset (&fixture, 0, sizeof fixture);
  fixture.now = 100 * GBD_SECOND;
  fixture.catalog = gbd_catalog_new (1);
  gbd_service_id_t visitas = add_customer (&fixture, "casa-lampiao", "visitas",
                                           "10.1.0.1:443", &fixture.flooded);
  gbd_service_id_t dispatch = add_customer (&fixture, "maji-laini", "dispatch",
                                            "10.2.0.1:443", &fixture.quiet);

  gbd_engine_settings_t settings = {
    .self = SELF,
    .zone = 1,
    .flow_key = 7,
    .cache_capacity = 65536,
    .registry_capacity = 4096,
    .policy = &gbd_policy_replicas,
  };
  fixture.engine = gbd_engine_new (&settings);
  fixture.limits = gbd_limits_new (SELF, fixture.now);
  gbd_limits_set_catalog (fixture.limits, fixture.catalog);
  gbd_engine_set_catalog (fixture.engine, fixture.catalog);
  gbd_engine_set_admission (fixture.engine, &gbd_limits_admission,
                            fixture.limits);
  gbd_engine_set_lease (fixture.engine, GBD_LEASE_FULL);
  gbd_engine_set_joined (fixture.engine, true);
  add_table (&fixture, visitas, 9000);
  add_table (&fixture, dispatch, 9500);
  *state = &fixture;
  return 0;
}

static int
teardown (void **state)
{
  fixture_t *fixture = *state;
  gbd_engine_delete (fixture->engine);
  gbd_limits_delete (fixture->limits);
  gbd_catalog_delete (fixture->catalog);
  return 0;
}

static gbd_decision_t
send_packet (fixture_t *fixture, const gbd_address_t *service, uint32_t caller,
             gbd_packet_kind_t kind)
{
  gbd_packet_t packet = {
    .kind = kind,
    .flow.service = *service,
    .flow.caller = { .family = 4, .port = (uint16_t)(1024 + caller % 60000) },
    .sequence = caller,
    .has_ack = kind != GBD_PACKET_OPENING,
    .length = 60,
  };
  memcpy (packet.flow.caller.ip, &caller, sizeof caller);
  gbd_decision_t decision;
  gbd_engine_route (fixture->engine, &packet, NULL, fixture->now, &decision);
  gbd_engine_commit (fixture->engine, &packet, &decision, fixture->now);
  return decision;
}

static void
ignore_report (void *data, const gbd_limits_report_t *report)
{
  (void)data;
  (void)report;
}

static void
flood_one_step (fixture_t *fixture, uint32_t *next_caller)
{
  for (int i = 0; i < FLOOD_PER_SECOND / STEPS_PER_SECOND; i++)
    {
      gbd_decision_t decision = send_packet (
          fixture, &fixture->flooded, (*next_caller)++, GBD_PACKET_OPENING);
      fixture->forwarded += decision.kind == GBD_ACTION_BACKEND;
      fixture->refused += decision.kind == GBD_ACTION_RESET;
    }
  fixture->now += GBD_SECOND / STEPS_PER_SECOND;
  gbd_limits_end_round (fixture->limits, fixture->now, ignore_report, NULL);
  gbd_engine_expire (fixture->engine, fixture->now);
}

/* 100,000 opening packets per second to one customer, each of a new flow, must
   not be admitted beyond its limit, and must not affect the flows of the other
   customer. */
static void
flood_of_one_customer_does_not_affect_another (void **state)
{
  fixture_t *fixture = *state;
  uint16_t ports[QUIET_FLOWS];
  for (uint32_t i = 0; i < QUIET_FLOWS; i++)
    {
      gbd_decision_t opened
          = send_packet (fixture, &fixture->quiet, i, GBD_PACKET_OPENING);
      assert_int_equal (opened.kind, GBD_ACTION_BACKEND);
      ports[i] = opened.backend.port;
      fixture->now += GBD_MILLISECOND;
    }
  gbd_engine_stats_t before;
  gbd_engine_get_stats (fixture->engine, &before);

  uint32_t next_caller = 1000000;
  uint32_t next_quiet = QUIET_FLOWS;
  for (int step = 0; step < FLOOD_SECONDS * STEPS_PER_SECOND; step++)
    {
      flood_one_step (fixture, &next_caller);
      uint32_t flow = (uint32_t)step % QUIET_FLOWS;
      gbd_decision_t later = send_packet (fixture, &fixture->quiet, flow,
                                          GBD_PACKET_ESTABLISHED);
      assert_int_equal (later.kind, GBD_ACTION_BACKEND);
      assert_int_equal (later.backend.port, ports[flow]);
      if (step % 10)
        continue;
      gbd_decision_t opened = send_packet (fixture, &fixture->quiet,
                                           next_quiet++, GBD_PACKET_OPENING);
      assert_int_equal (opened.kind, GBD_ACTION_BACKEND);
      assert_in_range (opened.backend.port, 9500, 9500 + SERVERS - 1);
    }

  gbd_engine_stats_t after;
  gbd_engine_get_stats (fixture->engine, &after);
  assert_int_equal (after.bytes, before.bytes);
  assert_int_equal (after.evictions, 0);
  assert_in_range (fixture->forwarded, 1,
                   LIMIT_PER_SECOND * FLOOD_SECONDS * 11 / 10);
  assert_int_equal (fixture->forwarded + fixture->refused,
                    FLOOD_PER_SECOND * FLOOD_SECONDS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        flood_of_one_customer_does_not_affect_another, setup, teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
