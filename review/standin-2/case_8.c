/* Case 8: an entry of a service that the manifest does not name states the
   address of an endpoint that is in use. */
#include "stand.h"

#define INSTANCES 3
#define ENDPOINTS 2
#define FLOWS 16
#define CONTACT_MS 4000
#define WORK_MS 230
#define BUDGET_MS 3000

static const char *const manifest
    = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"198.18.0.1\","
      "\"path_prefix\":\"/8443/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":1,"
      "\"backend\":\"huvo11a\",\"max_attempts\":2}],\"backends\":[{\"name\":"
      "\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":2000,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
      "16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000}}";

static endpoint_t *endpoints[ENDPOINTS];

/* Whether an endpoint began to work on a request. */
static bool
has_run (uint64_t id)
{
  for (int i = 0; i < ENDPOINTS; i++)
    for (size_t j = 0; j < endpoints[i]->receipt_count; j++)
      if (!endpoints[i]->receipts[j].is_opening
          && endpoints[i]->receipts[j].id == id)
        return true;
  return false;
}

int
main (int argc, char **argv)
{
  flow_t *flows[FLOWS];
  stand_init (argc > 1 ? argv[1] : ".");
  store_start (INSTANCES);
  store_put ("config", "main", manifest);
  for (int i = 0; i < ENDPOINTS; i++)
    {
      char name[STAND_NAME];
      char ip[STAND_NAME];
      snprintf (name, sizeof name, "i-%08x", 0x7f3a91c2u + 0x1010101u * i);
      snprintf (ip, sizeof ip, "127.77.2.%d", i + 1);
      endpoints[i]
          = endpoint_start (name, "huvo11a", "dar-kariakoo", ip, WORK_MS);
    }
  instances_prepare (INSTANCES, INSTANCES);
  clients_start ();
  for (int i = 0; i < INSTANCES; i++)
    instance_start (i);
  instances_wait_ready (INSTANCES, 15000);
  router_start (INSTANCES);
  stand_sleep_until (stand_now () + CONTACT_MS + 1000);

  for (int i = 0; i < FLOWS; i++)
    {
      flows[i] = flow_open ("198.18.0.1", 8443, false, BUDGET_MS);
      stand_sleep_until (stand_now () + 50);
    }
  for (int i = 0; i < FLOWS; i++)
    {
      if (!flow_request (flows[i], BUDGET_MS))
        stand_give_up ("a flow has not opened");
      stand_sleep_until (stand_now () + 2 * WORK_MS);
    }
  stand_sleep_until (stand_now () + 500);
  int answered = 0;
  for (int i = 0; i < FLOWS; i++)
    answered += flows[i]->responses;
  stand_record ("%d flows are open, %d requests were answered", FLOWS,
                answered);

  if (stand_has_trouble ())
    for (int i = 0; i < ENDPOINTS; i++)
      {
        char name[STAND_NAME];
        char spec[512];
        snprintf (name, sizeof name, "i-%08x", 0x3c5d7e90u + i);
        snprintf (spec, sizeof spec,
                  "{\"backend\":\"canary\",\"address\":\"%s:%d\",\"zone\":"
                  "\"%s\",\"version\":\"v1\",\"max_concurrency\":2,"
                  "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,"
                  "\"born\":%lld}",
                  endpoints[i]->ip, endpoints[i]->port, endpoints[i]->zone,
                  (long long)stand_unix_ms ());
        store_put ("servers", name, spec);
        stand_record ("another writer's entry %s stands in the store: %s",
                      name, spec);
      }
  stand_sleep_until (stand_now () + 2000);

  stand_record ("each flow's client sends a request");
  for (int i = 0; i < FLOWS; i++)
    flow_request (flows[i], BUDGET_MS);
  stand_sleep_until (stand_now () + BUDGET_MS + 500);

  int resets = 0;
  int lost = 0;
  stand_lock ();
  for (int i = 0; i < FLOWS; i++)
    {
      bool is_reset = flows[i]->end == END_SYSTEM_RESET;
      bool is_lost = is_reset && has_run (flows[i]->request_id);
      resets += is_reset;
      lost += is_lost;
      stand_record ("client's port %u: %d answers, %s%s", flows[i]->port,
                    flows[i]->responses, flow_end_text (flows[i]->end),
                    is_lost ? "; an endpoint ran the request, the client "
                              "never got the answer"
                            : "");
    }
  stand_unlock ();
  for (int i = 0; i < ENDPOINTS; i++)
    stand_record ("endpoint %s runs, and has sent %d resets",
                  endpoints[i]->name, endpoints[i]->resets_sent);
  for (int i = 0; i < INSTANCES; i++)
    {
      instance_has_ended (i);
      instance_record_log (i, "server_down", 2);
    }
  stand_record ("open flows of living endpoints that the system reset: %d; "
                "requests that ran and were never answered: %d",
                resets, lost);
  stand_finish (resets > 0 ? 1 : 0);
}
