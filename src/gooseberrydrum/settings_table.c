#include "settings_table.h"

#include <assert.h>
#include <ctype.h>
#include <string.h>

#include "settings_kinds.h"

#define FIELD(field) offsetof (gbd_settings_t, field)

static const char *const policies[]
    = { "keepers", "modulo", "rendezvous", "cached", GBD_POLICY_COOKIE, NULL };
static const char *const platform_forms[] = { "own", "objects", NULL };
static const char *const packet_forms[] = { "ip", "echo", NULL };
/* In the order of syslog's priorities from LOG_ERR on. */
static const char *const cut_offs[] = { "known", "own", "any", NULL };

static const char *const priorities[]
    = { "error", "warning", "notice", "info", "debug", NULL };

const gbd_setting_t gbd_setting_table[] = {
  { "name", &gbd_kind_name, FIELD (name), NULL, "", 0, 0, NULL, false,
    "Name of this instance, unique in its group." },
  { "zone", &gbd_kind_name, FIELD (zone), NULL, "", 0, 0, NULL, false,
    "Availability zone of this instance." },
  { "group", &gbd_kind_name, FIELD (group), "main", "", 0, 0, NULL, false,
    "Spray group: the instances that the fabric sprays packets over." },
  { "platform", &gbd_kind_address, FIELD (platform), NULL, "", 0, 0, NULL,
    false, "Address of the platform's object API." },
  { "fabric-listen", &gbd_kind_address, FIELD (fabric_listen), NULL, "", 0, 0,
    NULL, false, "Where the fabric sends packets (UDP)." },
  { "peer-listen", &gbd_kind_address, FIELD (peer_listen), "", "", 0, 0, NULL,
    false,
    "Where other instances pass packets on (UDP).  Every policy but cookie "
    "needs it." },
  { "link-listen", &gbd_kind_address, FIELD (link_listen), "", "", 0, 0, NULL,
    false,
    "Where other instances open links (TCP).  Every policy but cookie needs "
    "it." },
  { "ready-listen", &gbd_kind_optional_address, FIELD (ready_listen), "off",
    "", 0, 0, NULL, false,
    "Where GET /ready tells the fabric whether this instance takes packets "
    "(HTTP); only for the policy cookie." },
  { "metrics-listen", &gbd_kind_optional_address, FIELD (metrics_listen),
    "off", "", 0, 0, NULL, false,
    "Where GET /metrics serves the counters without a token (HTTP); only for "
    "the policy cookie." },
  { "relay-listen", &gbd_kind_optional_address, FIELD (relay_listen), "off",
    "", 0, 0, NULL, false,
    "Where this instance relays the list of backend servers to others (HTTP); "
    "only for the policy cookie." },
  { "relays", &gbd_kind_addresses, FIELD (relays), "", "", 0, 0, NULL, false,
    "Instances that watch the platform's list of backend servers and relay "
    "it; the others ask the platform itself only while none of them answers. "
    "An instance whose relay-listen is among them is such a one." },
  { "platform-form", &gbd_kind_choice, FIELD (platform_form), "own", "", 0, 0,
    platform_forms, false,
    "Which object API the platform speaks; objects only for the policy "
    "cookie." },
  { "packet-form", &gbd_kind_choice, FIELD (packet_form), "ip", "", 0, 0,
    packet_forms, false,
    "How the fabric's packets look: ip, or echo, which carries a routing "
    "cookie." },
  { "probe-servers", &gbd_kind_flag, FIELD (probe_servers), "no", "", 0, 0,
    NULL, false,
    "Connect to a backend server that leaves flows unanswered, to learn "
    "whether it has ended; all of them must accept TCP connections at their "
    "address.  Only for the policy cookie." },
  { "admin-listen", &gbd_kind_optional_address, FIELD (admin_listen),
    "127.0.0.1:7480", "", 0, 0, NULL, false,
    "Where status, dump, explain and counters are served (HTTP).  Anything "
    "but a loopback address needs an admin token." },
  { "admin-token", &gbd_kind_token, FIELD (admin_token), "", "", 0, 0, NULL,
    true, "Bearer token that requests to the admin address must carry." },
  { "admin-token-file", &gbd_kind_file, FIELD (admin_token_file), "", "", 0, 0,
    NULL, false, "File whose first line is the admin token." },
  { "group-key", &gbd_kind_key, FIELD (group_key), "", "", 0, 0, NULL, true,
    "Secret of the group: authenticates packets between instances and keys "
    "the flow hash." },
  { "group-key-file", &gbd_kind_file, FIELD (group_key_file), "", "", 0, 0,
    NULL, false, "File whose first line is the group key." },
  { "tls-certificate", &gbd_kind_file, FIELD (tls_certificate), "", "", 0, 0,
    NULL, false, "Certificate chain of this instance (PEM)." },
  { "tls-key", &gbd_kind_file, FIELD (tls_key), "", "", 0, 0, NULL, false,
    "Private key of the certificate (PEM)." },
  { "tls-authority", &gbd_kind_file, FIELD (tls_authority), "", "", 0, 0, NULL,
    false,
    "Certificates of the authorities that other instances must be signed by "
    "(PEM)." },
  { "insecure-links", &gbd_kind_flag, FIELD (insecure_links), "no", "", 0, 0,
    NULL, false, "Run links without TLS.  Only for tests." },
  { "policy", &gbd_kind_choice, FIELD (policy), "keepers", "", 0, 0, policies,
    false,
    "How packets find their backend server: keepers, or cookie where the "
    "packets carry one; the others are baselines for measurements." },
  { "heartbeat-ms", &gbd_kind_number, FIELD (heartbeat_ms), "400", " ms", 20,
    10000, NULL, false, "Time between two heartbeats." },
  { "touch-timeout-ms", &gbd_kind_number, FIELD (touch_timeout_ms), "1400",
    " ms", 60, 60000, NULL, false,
    "Without an acknowledged heartbeat or a confirmation for this long, an "
    "instance knows that it is out of touch." },
  { "silence-timeout-ms", &gbd_kind_number, FIELD (silence_timeout_ms), "2000",
    " ms", 80, 60000, NULL, false,
    "After this long without a heartbeat the others go on without an "
    "instance." },
  { "stop-forward-ms", &gbd_kind_number, FIELD (stop_forward_ms), "10000",
    " ms", 0, 600000, NULL, false,
    "How long after its signal a planned stop goes on forwarding at the most; "
    "it ends sooner once the others have taken over and the fabric sends "
    "nothing more." },
  { "cache-flows", &gbd_kind_power_of_two, FIELD (cache_flows), "1048576",
    " flows", 1024, 16777216, NULL, false, "Size of the flow cache." },
  { "registry-flows", &gbd_kind_number, FIELD (registry_flows), "262144",
    " flows", 1024, 16777216, NULL, false,
    "Registrations that one service may hold." },
  { "teach-per-second", &gbd_kind_number, FIELD (teach_per_second), "50",
    " flows/s", 0, 100000, NULL, false,
    "Flows told to other instances to spare a detour." },
  { "cut-off-zone", &gbd_kind_choice, FIELD (cut_off_zone), "own", "", 0, 0,
    cut_offs, false,
    "What zones that are cut off from the group and the platform may open: "
    "known: nothing; own: flows whose backend server is in those zones; any: "
    "all flows, to backend servers of those zones, which is safe only if the "
    "fabric is cut at the same place." },
  { "bucket-count", &gbd_kind_power_of_two, FIELD (bucket_count), "2048",
    " buckets", 16, GBD_BUCKETS_MAX, NULL, false,
    "Buckets of a new service's table." },
  { "log-level", &gbd_kind_priority, FIELD (log_priority), "info", "", 0, 0,
    priorities, false, "Least important events that are logged." },
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
