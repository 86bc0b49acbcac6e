#include "settings_table.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>

#include "gooseberrydrum/warm_up.h"
#include "settings_kinds.h"

#define FIELD(field) offsetof (gbd_settings_t, field)

static const char *const policy_choices[]
    = { "keepers", "modulo", "rendezvous", "cached", GBD_POLICY_COOKIE, NULL };
static const char *const platform_form_choices[] = { "own", "objects", NULL };
static const char *const packet_form_choices[] = { "ip", "echo", NULL };
static const char *const partition_policy_choices[]
    = { "known", "own", "any", NULL };

/* In the order of the priorities of syslog, from LOG_ERR on. */
static const char *const log_level_choices[]
    = { "error", "warning", "notice", "info", "debug", NULL };

const gbd_setting_t gbd_setting_table[] = {
  { "name", &gbd_kind_name, FIELD (name), NULL, "", 0, 0, NULL, false,
    "Name of this instance, unique in its group." },
  { "zone", &gbd_kind_name, FIELD (zone), NULL, "", 0, 0, NULL, false,
    "Availability zone of this instance." },
  { "group", &gbd_kind_name, FIELD (group), "main", "", 0, 0, NULL, false,
    "Group of this instance: the instances that the fabric spreads packets "
    "over." },
  { "platform", &gbd_kind_address, FIELD (platform), NULL, "", 0, 0, NULL,
    false, "Address of the platform's object store." },
  { "fabric-listen", &gbd_kind_address, FIELD (fabric_listen), NULL, "", 0, 0,
    NULL, false, "Address to which the fabric sends packets (UDP)." },
  { "peer-listen", &gbd_kind_address, FIELD (peer_listen), "", "", 0, 0, NULL,
    false,
    "Address to which other instances forward packets (UDP).  Required for "
    "every policy except cookie." },
  { "link-listen", &gbd_kind_address, FIELD (link_listen), "", "", 0, 0, NULL,
    false,
    "Address at which other instances open links (TCP).  Required for every "
    "policy except cookie." },
  { "ready-listen", &gbd_kind_optional_address, FIELD (ready_listen), "off",
    "", 0, 0, NULL, false,
    "Address at which GET /ready tells the fabric whether this instance "
    "accepts packets (HTTP); only for the policy cookie." },
  { "metrics-listen", &gbd_kind_optional_address, FIELD (metrics_listen),
    "off", "", 0, 0, NULL, false,
    "Address at which GET /metrics serves the counters without a token "
    "(HTTP); only for the policy cookie." },
  { "relay-listen", &gbd_kind_optional_address, FIELD (relay_listen), "off",
    "", 0, 0, NULL, false,
    "Address at which this instance serves the list of backend servers, the "
    "routes and the group's key to other instances (HTTP); only for the "
    "policy cookie.  Whoever reaches it can read the key." },
  { "relays", &gbd_kind_addresses, FIELD (relays), "", "", 0, 0, NULL, false,
    "Addresses of the relays: instances that watch the platform's list of "
    "backend servers and relay it to the others.  An instance is a relay if "
    "its relay-listen is in this list.  The other instances watch the "
    "platform only while no relay responds." },
  { "first-start", &gbd_kind_flag, FIELD (first_start), "no", "", 0, 0, NULL,
    false,
    "Whether all instances of the group start for the first time and no "
    "packets arrive yet.  The instances then wait for the relays instead of "
    "reading from the platform, and the relays create the group's key at once "
    "instead of after two seconds." },
  { "group-view", &gbd_kind_flag, FIELD (group_view), "no", "", 0, 0, NULL,
    false,
    "Whether the instances learn from the relays how many instances the group "
    "and their zone have.  Requires relays and relay-listen; only for the "
    "policy cookie." },
  { "reports-listen", &gbd_kind_optional_address, FIELD (reports_listen),
    "off", "", 0, 0, NULL, false,
    "UDP address at which the instance receives what others have observed of "
    "backend servers that fail, or off.  All instances of a group use the "
    "same port.  Requires group-view; only for the policy cookie." },
  { "platform-form", &gbd_kind_choice, FIELD (platform_form), "own", "", 0, 0,
    platform_form_choices, false,
    "Object API of the platform; objects is only for the policy cookie." },
  { "packet-form", &gbd_kind_choice, FIELD (packet_form), "ip", "", 0, 0,
    packet_form_choices, false,
    "Format of the packets of the fabric: ip, or echo, which carries a "
    "routing cookie." },
  { "probe-servers", &gbd_kind_flag, FIELD (probe_servers), "no", "", 0, 0,
    NULL, false,
    "Connect to a backend server that does not respond to flows, to detect "
    "whether it has terminated; all backend servers must accept TCP "
    "connections at their address.  Only for the policy cookie." },
  { "zone-evacuation", &gbd_kind_flag, FIELD (zone_evacuation), "no", "", 0, 0,
    NULL, false,
    "Watch the zones that the operator evacuates, and send no new flow to "
    "their backend servers.  Only for the policy cookie." },
  { "warmup-overshoot", &gbd_kind_decimal, FIELD (warmup_overshoot), "", "", 1,
    GBD_WARM_UP_OVERSHOOT_MAX, NULL, false,
    "Factor on the requests per second that the configuration states for cold "
    "backend servers (warmup_per_s).  With warmup-slack it limits the opening "
    "packets that each of them gets from all instances together; without both "
    "settings there is no limit.  Only for the policy cookie." },
  { "warmup-slack", &gbd_kind_decimal, FIELD (warmup_slack), "", " packets/s",
    0, GBD_WARM_UP_SLACK_MAX, NULL, false,
    "Opening packets per second that a cold backend server may get beyond the "
    "stated requests per second times warmup-overshoot." },
  { "admin-listen", &gbd_kind_optional_address, FIELD (admin_listen),
    "127.0.0.1:7480", "", 0, 0, NULL, false,
    "Address at which status, dump, explain and counters are served (HTTP).  "
    "Any address other than a loopback address requires an admin token." },
  { "admin-token", &gbd_kind_token, FIELD (admin_token), "", "", 0, 0, NULL,
    true, "Bearer token that requests to the admin address must carry." },
  { "admin-token-file", &gbd_kind_file, FIELD (admin_token_file), "", "", 0, 0,
    NULL, false, "File whose first line is the admin token." },
  { "group-key", &gbd_kind_key, FIELD (group_key), "", "", 0, 0, NULL, true,
    "Secret key of the group: authenticates packets between instances and is "
    "the key of the flow hash." },
  { "group-key-file", &gbd_kind_file, FIELD (group_key_file), "", "", 0, 0,
    NULL, false, "File whose first line is the group key." },
  { "tls-certificate", &gbd_kind_file, FIELD (tls_certificate), "", "", 0, 0,
    NULL, false, "Certificate chain of this instance (PEM)." },
  { "tls-key", &gbd_kind_file, FIELD (tls_key), "", "", 0, 0, NULL, false,
    "Private key of the certificate (PEM)." },
  { "tls-authority", &gbd_kind_file, FIELD (tls_authority), "", "", 0, 0, NULL,
    false,
    "Certificates of the authorities that sign the certificates of other "
    "instances (PEM)." },
  { "insecure-links", &gbd_kind_flag, FIELD (insecure_links), "no", "", 0, 0,
    NULL, false, "Open links without TLS.  Only for tests." },
  { "policy", &gbd_kind_choice, FIELD (policy), "keepers", "", 0, 0,
    policy_choices, false,
    "How the backend server of a packet is chosen: keepers, or cookie if the "
    "packets carry routing cookies; the others are baselines for "
    "benchmarks." },
  { "heartbeat-ms", &gbd_kind_number, FIELD (heartbeat_ms), "400", " ms", 20,
    10000, NULL, false, "Time between two heartbeats." },
  { "touch-timeout-ms", &gbd_kind_number, FIELD (lease_timeout_ms), "1400",
    " ms", 60, 60000, NULL, false,
    "Lease timeout: time without an acknowledged heartbeat and without a "
    "confirmation by the platform after which an instance considers itself "
    "partitioned." },
  { "silence-timeout-ms", &gbd_kind_number, FIELD (failure_timeout_ms), "2000",
    " ms", 80, 60000, NULL, false,
    "Failure timeout: time without a heartbeat after which the other "
    "instances consider an instance failed." },
  { "stop-forward-ms", &gbd_kind_number, FIELD (stop_forward_ms), "10000",
    " ms", 0, 600000, NULL, false,
    "Longest time for which an instance continues to forward packets after "
    "the signal for a planned stop; it exits earlier once the other instances "
    "have taken over and the fabric sends no more packets." },
  { "cache-flows", &gbd_kind_power_of_two, FIELD (cache_flows), "1048576",
    " flows", 1024, 16777216, NULL, false, "Size of the flow cache." },
  { "registry-flows", &gbd_kind_number, FIELD (registry_flows), "262144",
    " flows", 1024, 16777216, NULL, false,
    "Maximum number of registrations of one service." },
  { "teach-per-second", &gbd_kind_number, FIELD (hints_per_second), "50",
    " flows/s", 0, 100000, NULL, false,
    "Maximum rate of flow hints, which tell other instances the backend "
    "server of a flow, so that its packets need no detour." },
  { "cut-off-zone", &gbd_kind_choice, FIELD (partition_policy_name), "own", "",
    0, 0, partition_policy_choices, false,
    "New flows that zones accept while they are partitioned from the group "
    "and from the platform: known: none; own: flows whose backend server is "
    "in those zones; any: all flows, to backend servers in those zones, which "
    "is safe only if the fabric is partitioned in the same way." },
  { "bucket-count", &gbd_kind_power_of_two, FIELD (bucket_count), "2048",
    " buckets", 16, GBD_BUCKETS_MAX, NULL, false,
    "Number of buckets in the table of a new service." },
  { "log-level", &gbd_kind_priority, FIELD (log_priority), "info", "", 0, 0,
    log_level_choices, false, "Lowest priority of events that are logged." },
};

const size_t gbd_setting_count
    = sizeof gbd_setting_table / sizeof gbd_setting_table[0];

void
gbd_setting_get_variable (const gbd_setting_t *setting, char *variable)
{
  int length = snprintf (variable, GBD_REMEDY_LENGTH_MAX, "GOOSEBERRYDRUM_%s",
                         setting->name);
  for (int i = 0; i < length; i++)
    {
      char letter = variable[i];
      variable[i]
          = (char)(letter == '-' ? '_' : toupper ((unsigned char)letter));
    }
}

const gbd_setting_t *
gbd_setting_find (const char *name)
{
  size_t i = 0;
  while (i < gbd_setting_count
         && strcmp (gbd_setting_table[i].name, name) != 0)
    i++;
  assert (i < gbd_setting_count);
  return &gbd_setting_table[i];
}
