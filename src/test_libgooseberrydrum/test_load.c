#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "engine_fixture.h"
#include "gooseberrydrum/load.h"

#define LOADS 2
#define PLAN_RATE 100

/* Two instances that report to each other through the codec. */
typedef struct
{
  gbd_catalog_t *catalog;
  gbd_service_id_t service;
  gbd_engine_t *engines[LOADS];
  gbd_load_t *loads[LOADS];
  gbd_backend_t backends[2];
  uint16_t configured[2];
  gbd_time_t now;
  uint32_t sent;
  uint32_t entries; /* number of entries in the newest message */
} fixture_t;

static fixture_t fixture;

static gbd_instance_id_t
get_instance_id (uint32_t i)
{
  return 1000 + i;
}

static void
deliver_message (void *data, gbd_instance_id_t to,
                 const gbd_message_t *message)
{
  (void)data;
  size_t length;
  uint8_t *bytes = gbd_message_encode (message, &length);
  assert_non_null (bytes);
  gbd_message_t received;
  assert_int_equal (gbd_message_decode (bytes + 4, length - 4, &received),
                    GBD_OK);
  fixture.sent++;
  fixture.entries = received.body.load.count;
  assert_int_equal (gbd_load_receive (fixture.loads[to - get_instance_id (0)],
                                      &received, fixture.now),
                    GBD_OK);
  gbd_message_clear (&received);
  free (bytes);
}

static int
setup (void **state)
{
  (void)state;
  memset (&fixture, 0, sizeof fixture);
  fixture.now = 100 * GBD_SECOND;
  fixture.service = gbd_id_from_name ("readings");
  fixture.catalog = gbd_catalog_new (1);
  gbd_plan_t plan = { .name = "small",
                      .open_flows = 1000,
                      .new_flows_per_second = PLAN_RATE,
                      .idle_limit_s = 60,
                      .balance_percent = 100 };
  gbd_catalog_add_plan (fixture.catalog, &plan);
  gbd_catalog_add_customer (fixture.catalog, "maji-laini", 0);
  gbd_catalog_add_service (fixture.catalog, "readings", 0);
  gbd_address_t address = service_address (1);
  gbd_catalog_add_address (fixture.catalog, &address, 0);

  gbd_member_t members[LOADS];
  for (uint32_t i = 0; i < LOADS; i++)
    members[i] = (gbd_member_t){ get_instance_id (i), i + 1 };
  for (uint32_t i = 0; i < 2; i++)
    {
      fixture.backends[i].id = 500 + i;
      fixture.backends[i].address = service_address ((uint8_t)(100 + i));
      fixture.configured[i] = 10000;
    }
  for (uint32_t i = 0; i < LOADS; i++)
    {
      gbd_engine_settings_t settings = { .self = get_instance_id (i),
                                         .zone = i + 1,
                                         .flow_key = FLOW_KEY,
                                         .cache_capacity = 4096,
                                         .registry_capacity = 1024,
                                         .policy = &gbd_policy_replicas };
      fixture.engines[i] = gbd_engine_new (&settings);
      fixture.loads[i] = gbd_load_new (get_instance_id (i), fixture.engines[i],
                                       deliver_message, NULL, fixture.now);
      assert_int_equal (
          gbd_engine_set_catalog (fixture.engines[i], fixture.catalog),
          GBD_OK);
      assert_int_equal (
          gbd_load_set_catalog (fixture.loads[i], fixture.catalog), GBD_OK);
      gbd_table_t *table = gbd_table_new (fixture.service, 64,
                                          fixture.backends, 2, members, LOADS);
      table->version = 1;
      assert_int_equal (
          gbd_engine_set_table (fixture.engines[i], table, fixture.now),
          GBD_OK);
      gbd_engine_set_lease (fixture.engines[i], GBD_LEASE_FULL);
      gbd_engine_set_joined (fixture.engines[i], true);
      gbd_engine_set_reachable (fixture.engines[i], members, LOADS);
    }
  return 0;
}

static int
teardown (void **state)
{
  (void)state;
  for (uint32_t i = 0; i < LOADS; i++)
    {
      gbd_load_delete (fixture.loads[i]);
      gbd_engine_delete (fixture.engines[i]);
    }
  gbd_catalog_delete (fixture.catalog);
  return 0;
}

/* Advance the time; instance 0 watches the platform. */
static void
tick (gbd_time_t elapsed)
{
  fixture.now += elapsed;
  for (uint32_t i = 0; i < LOADS; i++)
    {
      gbd_load_peer_t peer = { get_instance_id (1 - i), i == 1 };
      gbd_load_tick (fixture.loads[i], i == 0, &peer, 1, fixture.now);
    }
}

/* Send a packet through instance i.  Returns whether it reached a server. */
static bool
send_packet (uint32_t i, gbd_packet_kind_t kind, uint32_t caller,
             uint16_t length, gbd_slot_t *slot)
{
  gbd_address_t service = service_address (1);
  gbd_packet_t packet = make_packet (kind, caller, &service, 1);
  packet.length = length;
  gbd_decision_t decision;
  gbd_engine_route (fixture.engines[i], &packet, NULL, fixture.now, &decision);
  gbd_engine_commit (fixture.engines[i], &packet, &decision, fixture.now);
  *slot = decision.slot;
  return decision.kind == GBD_ACTION_BACKEND;
}

static uint32_t
open_flows (uint32_t i, uint32_t first, uint32_t count)
{
  uint32_t forwarded = 0;
  gbd_slot_t slot;
  for (uint32_t n = 0; n < count; n++)
    forwarded += send_packet (i, GBD_PACKET_OPENING, first + n, 60, &slot);
  return forwarded;
}

/* All demand is at one instance: its share must grow to the full limit, and
   the other instance must receive the number of its open flows. */
static void
limits_follow_reported_demand (void **state)
{
  (void)state;
  uint32_t admitted = 0;
  for (uint32_t second = 0; second < 10; second++)
    {
      for (uint32_t part = 0; part < 10; part++)
        {
          admitted
              += open_flows (0, second * 1000 + part * 100, PLAN_RATE / 5);
          tick (GBD_SECOND / 10);
        }
    }
  gbd_limits_info_t busy;
  gbd_limits_info_t idle;
  gbd_limits_get (gbd_load_get_limits (fixture.loads[0]), 0, &busy);
  gbd_limits_get (gbd_load_get_limits (fixture.loads[1]), 0, &idle);
  assert_int_equal (busy.admitted, admitted);
  assert_int_equal (busy.share_per_second, PLAN_RATE);
  assert_true (busy.refused > 0);
  assert_true (admitted <= 10 * PLAN_RATE);
  assert_true (admitted >= 7 * PLAN_RATE);
  assert_true (idle.open_flows >= admitted);
  assert_int_equal (idle.admitted, 0);
}

/* Flows with many bytes on one server must lower the weight of this server at
   the instance that watches the platform. */
static void
bytes_lower_the_weight_of_their_server (void **state)
{
  (void)state;
  uint16_t weights[2];
  for (uint32_t round = 0; round < 8; round++)
    {
      for (uint32_t caller = 0; caller < 12; caller++)
        {
          gbd_slot_t slot;
          send_packet (1, GBD_PACKET_OPENING, caller, 60, &slot);
          for (uint32_t n = 0; n < 100; n++)
            send_packet (1, GBD_PACKET_ESTABLISHED, caller,
                         slot == 0 ? 1400 : 60, &slot);
        }
      tick (GBD_BALANCE_REPORT_INTERVAL);
      memcpy (weights, fixture.configured, sizeof weights);
      gbd_load_compute_weights (fixture.loads[0], fixture.service,
                                fixture.backends, 2, fixture.now, weights);
    }
  assert_true (weights[0] < fixture.configured[0]);
  assert_true (weights[1] > fixture.configured[1]);
  gbd_balance_info_t info;
  assert_int_equal (gbd_load_get_backend (fixture.loads[0], fixture.service,
                                          fixture.backends[0].id, &info),
                    GBD_OK);
  assert_true (info.kilobytes > 0);
  assert_int_equal (gbd_load_get_backend (fixture.loads[1], fixture.service,
                                          fixture.backends[0].id, &info),
                    GBD_ERROR_NOT_FOUND);
}

/* Unchanged load must not be sent again before the next full report. */
static void
unchanged_load_is_not_reported (void **state)
{
  (void)state;
  open_flows (1, 0, 20);
  tick (GBD_BALANCE_REPORT_INTERVAL);
  tick (GBD_BALANCE_REPORT_INTERVAL);
  tick (GBD_BALANCE_REPORT_INTERVAL);
  fixture.sent = 0;
  tick (GBD_BALANCE_REPORT_INTERVAL);
  assert_int_equal (fixture.sent, 0);
  for (uint32_t i = 0; i < GBD_LOAD_FULL_ROUNDS; i++)
    tick (GBD_BALANCE_REPORT_INTERVAL);
  assert_int_equal (fixture.sent, 1);
  assert_int_equal (fixture.entries, 2);
}

/* A report on an unknown slot or an unknown service. */
static void
unknown_slot_is_an_error (void **state)
{
  (void)state;
  gbd_load_entry_t entry = { .slot = 9, .open_flows = 1 };
  gbd_message_t message
      = { .type = GBD_MESSAGE_LOAD, .from = get_instance_id (1) };
  message.body.load.service = fixture.service;
  message.body.load.count = 1;
  message.body.load.entries = &entry;
  assert_int_equal (gbd_load_receive (fixture.loads[0], &message, fixture.now),
                    GBD_ERROR_RANGE);
  message.body.load.service++;
  assert_int_equal (gbd_load_receive (fixture.loads[0], &message, fixture.now),
                    GBD_ERROR_NOT_FOUND);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (limits_follow_reported_demand, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (bytes_lower_the_weight_of_their_server,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (unchanged_load_is_not_reported, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (unknown_slot_is_an_error, setup,
                                     teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
