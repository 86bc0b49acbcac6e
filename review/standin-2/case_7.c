/* Case 7: endpoints of an evacuated zone start again under their ids shortly
   before the zone is taken back. */
#include "stand.h"

#define INSTANCES 8
#define RELAYS 3
#define ENDPOINTS 4 /* two in each zone */
#define HEARTBEAT_MS 770
#define WARM_UP_MS 2000
#define WARM_UP_PER_S 4
#define BUDGET 11 /* floor (WARM_UP_PER_S * 1.5 + 5) */
#define WORK_MS 20
#define COLD_WORK_MS (2 * 1000 / WARM_UP_PER_S) /* on two slots */
#define GAP_MS 8
#define TIME_BUDGET_MS 1200
#define GROUP_KNOWN_MS 16000

static const char *const manifest
    = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"198.18.0.1\","
      "\"path_prefix\":\"/8080/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":1200,\"target_latency_ms\":300,\"priority\":1,"
      "\"backend\":\"huvo11a\",\"max_attempts\":2}],\"backends\":[{\"name\":"
      "\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":2000,"
      "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":2.0,\"warmup_per_s\":4}"
      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static endpoint_t *endpoints[ENDPOINTS];

static void
open_flows_until (int64_t end)
{
  static int64_t next;
  if (next < stand_now ())
    next = stand_now ();
  while (next < end)
    {
      stand_sleep_until (next);
      flow_open ("198.18.0.1", 8080, true, TIME_BUDGET_MS);
      next += GAP_MS;
    }
}

/* Whether a receipt is the first opening packet of its flow at an endpoint. */
static bool
is_first (const endpoint_t *endpoint, size_t index)
{
  const receipt_t *receipt = &endpoint->receipts[index];
  for (size_t i = 0; i < index; i++)
    if (endpoint->receipts[i].is_opening
        && endpoint->receipts[i].client_port == receipt->client_port)
      return false;
  return receipt->is_opening;
}

/* Returns the most flows that opened in a second that lies in a span; copies
   of an opening packet don't count. */
static int
count_most (const endpoint_t *endpoint, int64_t from, int64_t to)
{
  int most = 0;
  for (size_t i = 0; i < endpoint->receipt_count; i++)
    {
      int64_t start = endpoint->receipts[i].at_ms;
      int count = 0;
      if (start < from || start >= to)
        continue;
      for (size_t j = i; j < endpoint->receipt_count; j++)
        {
          int64_t at_ms = endpoint->receipts[j].at_ms;
          count
              += at_ms < to && at_ms < start + 1000 && is_first (endpoint, j);
        }
      if (count > most)
        most = count;
    }
  return most;
}

int
main (int argc, char **argv)
{
  stand_init (argc > 1 ? argv[1] : ".");
  store_start (INSTANCES);
  store_put ("config", "main", manifest);
  for (int i = 0; i < ENDPOINTS; i++)
    {
      char name[STAND_NAME];
      char ip[STAND_NAME];
      snprintf (name, sizeof name, "i-%08x", 0x7f3a91c2u + 0x1010101u * i);
      snprintf (ip, sizeof ip, "127.77.2.%d", i + 1);
      endpoints[i] = endpoint_start (
          name, "huvo11a", i < 2 ? "recife-a" : "recife-b", ip, WORK_MS);
    }
  instances_set_zone_bounds ();
  instances_prepare (INSTANCES, RELAYS);
  clients_start ();
  for (int i = 0; i < INSTANCES; i++)
    instance_start (i);
  instances_wait_ready (INSTANCES, 15000);
  router_start (INSTANCES);
  stand_sleep_until (stand_now () + GROUP_KNOWN_MS);

  open_flows_until (stand_now () + 2000);
  store_put ("evacuations", "recife-b", "{}");
  stand_record ("evacuations/recife-b is written");
  open_flows_until (stand_now () + 8000);
  int64_t from = stand_now ();
  if (stand_has_trouble ())
    for (int i = 2; i < ENDPOINTS; i++)
      {
        endpoint_restart (endpoints[i]);
        endpoints[i]->work_ms = COLD_WORK_MS;
      }
  open_flows_until (from + 100);
  store_delete ("evacuations", "recife-b");
  int64_t taken_back = stand_now ();
  stand_record ("evacuations/recife-b is removed");
  open_flows_until (from + HEARTBEAT_MS);
  if (stand_has_trouble ())
    for (int i = 2; i < ENDPOINTS; i++)
      {
        endpoints[i]->warm_up_left_ms = WARM_UP_MS - HEARTBEAT_MS;
        endpoint_write_entry (endpoints[i]);
      }
  stand_record ("the heartbeats of both endpoints are written");
  open_flows_until (from + WARM_UP_MS);
  for (int i = 2; i < ENDPOINTS; i++)
    endpoints[i]->work_ms = WORK_MS;
  open_flows_until (from + WARM_UP_MS + 2000);
  stand_sleep_until (stand_now () + 2500);

  int over = 0;
  stand_lock ();
  for (int i = 2; i < ENDPOINTS; i++)
    {
      int most = count_most (endpoints[i], from, from + WARM_UP_MS);
      over += most > BUDGET;
      stand_record ("endpoint %s, in the %d ms from its start on: at most %d "
                    "opening packets in a second (%d are allowed while it is "
                    "cold)",
                    endpoints[i]->name, WARM_UP_MS, most, BUDGET);
    }
  int opened = 0;
  int unanswered = 0;
  for (size_t i = 0; i < flows_count (); i++)
    {
      const flow_t *flow = flows_get (i);
      if (flow->started_ms < taken_back || !flow->opened_ms)
        continue;
      opened++;
      unanswered += flow->responses == 0;
    }
  stand_unlock ();
  stand_record ("flows that opened after the zone was taken back: %d; of "
                "these, requests without an answer in their time budget: %d",
                opened, unanswered);
  for (int i = 0; i < INSTANCES; i++)
    instance_has_ended (i);
  stand_finish (stand_has_trouble () && over > 0 ? 1 : 0);
}
