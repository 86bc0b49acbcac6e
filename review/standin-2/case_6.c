/* Case 6: entries of another writer, with fields missing, end in the
   identifiers of endpoints of another service. */
#include "stand.h"

#include <string.h>

#define INSTANCES 3
#define ENDPOINTS 2 /* of each service */
#define CONTACT_MS 4000
#define GAP_MS 40

static const char *const manifest
    = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"198.18.0.1\","
      "\"path_prefix\":\"/8443/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":1,"
      "\"backend\":\"huvo11a\",\"max_attempts\":2},{\"name\":\"r-2\","
      "\"host\":\"198.18.0.2\",\"path_prefix\":\"/8443/\",\"route_type\":"
      "\"upload\",\"timeout_ms\":8000,\"target_latency_ms\":500,"
      "\"priority\":2,\"backend\":\"wuno96b\",\"max_attempts\":2}],"
      "\"backends\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\","
      "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false},{\"name\":"
      "\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":2000,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":"
      "16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000}}";

/* Ports of the clients' flows of each route. */
static bool is_second_route[65536];

static void
open_flows_until (int64_t end)
{
  static int64_t next;
  static int count;
  if (next < stand_now ())
    next = stand_now ();
  while (next < end)
    {
      stand_sleep_until (next);
      bool is_second = count++ % 2 == 1;
      flow_t *flow = flow_open (is_second ? "198.18.0.2" : "198.18.0.1", 8443,
                                true, 3000);
      is_second_route[flow->port] = is_second;
      next += GAP_MS;
    }
}

int
main (int argc, char **argv)
{
  endpoint_t *endpoints[2 * ENDPOINTS];
  stand_init (argc > 1 ? argv[1] : ".");
  store_start (INSTANCES);
  store_put ("config", "main", manifest);
  for (int i = 0; i < 2 * ENDPOINTS; i++)
    {
      char name[STAND_NAME];
      char ip[STAND_NAME];
      snprintf (name, sizeof name, "i-%08x", 0x7f3a91c2u + 0x1010101u * i);
      snprintf (ip, sizeof ip, "127.77.2.%d", i + 1);
      endpoints[i] = endpoint_start (
          name, i < ENDPOINTS ? "huvo11a" : "wuno96b", "dar-kariakoo", ip, 20);
    }
  instances_prepare (INSTANCES, INSTANCES);
  clients_start ();
  for (int i = 0; i < INSTANCES; i++)
    instance_start (i);
  instances_wait_ready (INSTANCES, 15000);
  router_start (INSTANCES);
  stand_sleep_until (stand_now () + CONTACT_MS + 1000);

  open_flows_until (stand_now () + 3000);
  for (int i = 0; stand_has_trouble () && i < ENDPOINTS; i++)
    {
      char name[STAND_NAME];
      char spec[512];
      snprintf (name, sizeof name, "mirror-%s",
                strchr (endpoints[i]->name, '-') + 1);
      snprintf (spec, sizeof spec,
                "{\"backend\":\"wuno96b\",\"address\":\"%s:%d\",\"zone\":"
                "\"%s\",\"max_concurrency\":2,\"state\":\"ready\"}",
                endpoints[i]->ip, endpoints[i]->port, endpoints[i]->zone);
      store_put ("servers", name, spec);
      stand_record ("another writer's entry %s stands in the store: %s", name,
                    spec);
    }
  open_flows_until (stand_now () + 6000);
  stand_sleep_until (stand_now () + 3500);

  int wrong = 0;
  int right = 0;
  stand_lock ();
  for (int i = 0; i < 2 * ENDPOINTS; i++)
    for (size_t j = 0; j < endpoints[i]->receipt_count; j++)
      {
        const receipt_t *receipt = &endpoints[i]->receipts[j];
        if (receipt->is_opening)
          continue;
        bool is_wrong
            = is_second_route[receipt->client_port] != (i >= ENDPOINTS);
        wrong += is_wrong;
        right += !is_wrong;
        if (is_wrong && wrong <= 5)
          stand_record ("endpoint %s of %s ran request %016llx at %lld ms; "
                        "its route leads to %s only",
                        endpoints[i]->name, endpoints[i]->service,
                        (unsigned long long)receipt->id,
                        (long long)receipt->at_ms,
                        i < ENDPOINTS ? "wuno96b" : "huvo11a");
      }
  int ends[6] = { 0 };
  for (size_t i = 0; i < flows_count (); i++)
    if (!is_second_route[flows_get (i)->port])
      ends[flows_get (i)->end]++;
  stand_unlock ();
  stand_record ("clients of huvo11a: %d answered, %d reset by the system, %d "
                "not opened",
                ends[END_DONE], ends[END_SYSTEM_RESET], ends[END_TIMEOUT]);
  stand_record ("requests run by the service of their route: %d; by another "
                "service: %d",
                right, wrong);
  stand_finish (wrong > 0 ? 1 : 0);
}
