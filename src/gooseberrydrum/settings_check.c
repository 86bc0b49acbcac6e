#include "settings_table.h"

#include <string.h>

/* A rule between settings, and what is reported if it is violated. */
typedef struct
{
  bool (*holds) (const gbd_settings_t *settings);
  const char *setting;
  const char *problem;
  const char *remedy;
} rule_t;

static bool cookie_has_echo_packets (const gbd_settings_t *settings);
static bool forms_fit_policy (const gbd_settings_t *settings);
static bool has_peer_listen (const gbd_settings_t *settings);
static bool has_link_listen (const gbd_settings_t *settings);
static bool is_cookie (const gbd_settings_t *settings);
static bool has_group_key (const gbd_settings_t *settings);
static bool has_complete_tls (const gbd_settings_t *settings);
static bool has_tls_or_insecure_links (const gbd_settings_t *settings);
static bool has_no_tls_with_insecure_links (const gbd_settings_t *settings);
static bool
lease_timeout_spans_three_heartbeats (const gbd_settings_t *settings);
static bool
failure_timeout_exceeds_lease_timeout (const gbd_settings_t *settings);
static bool udp_addresses_differ (const gbd_settings_t *settings);
static bool tcp_addresses_differ (const gbd_settings_t *settings);
static bool has_complete_warm_up (const gbd_settings_t *settings);
static bool reports_have_readers (const gbd_settings_t *settings);
static bool admin_is_local_or_has_token (const gbd_settings_t *settings);

static const rule_t rules[] = {
  { cookie_has_echo_packets, "policy",
    "is cookie, but the packets carry no cookie",
    "specify --packet-form=echo, or another policy" },
  { forms_fit_policy, "policy",
    "is not available with --packet-form=echo or --platform-form=objects",
    "specify --policy=cookie, or --packet-form=ip and --platform-form=own" },
  { has_peer_listen, "peer-listen", "is missing",
    "specify --peer-listen=ADDRESS:PORT, or --policy=cookie" },
  { has_link_listen, "link-listen", "is missing",
    "specify --link-listen=ADDRESS:PORT, or --policy=cookie" },
  { has_group_key, "group-key", "is missing",
    "set GOOSEBERRYDRUM_GROUP_KEY, or --group-key-file, to 32 hexadecimal "
    "digits, the same for all instances of the group" },
  { has_complete_tls, "tls-certificate", "is incomplete",
    "specify --tls-certificate, --tls-key and --tls-authority together" },
  { has_tls_or_insecure_links, "tls-certificate", "is missing",
    "specify --tls-certificate, --tls-key and --tls-authority; in a test "
    "--insecure-links" },
  { has_no_tls_with_insecure_links, "insecure-links",
    "conflicts with --tls-certificate", "remove one of the two" },
  { lease_timeout_spans_three_heartbeats, "touch-timeout-ms",
    "is shorter than three heartbeats",
    "raise --touch-timeout-ms or lower --heartbeat-ms" },
  { failure_timeout_exceeds_lease_timeout, "silence-timeout-ms",
    "is not longer than --touch-timeout-ms and a heartbeat together",
    "raise --silence-timeout-ms, so that a partitioned instance detects the "
    "partition before the others remove it" },
  { udp_addresses_differ, "peer-listen", "is the same as --fabric-listen",
    "choose another port" },
  { tcp_addresses_differ, "admin-listen", "is the same as --link-listen",
    "choose another port" },
  { has_complete_warm_up, "warmup-overshoot",
    "and warmup-slack are not specified together",
    "specify --warmup-overshoot and --warmup-slack, or neither" },
  { reports_have_readers, "reports-listen",
    "is specified, but the relays do not know the instances",
    "specify --group-view=yes, --relay-listen and --relays, or "
    "--reports-listen=off" },
  { admin_is_local_or_has_token, "admin-listen",
    "is not a loopback address, and there is no token",
    "set GOOSEBERRYDRUM_ADMIN_TOKEN or --admin-token-file, or use "
    "127.0.0.1" },
};

uint32_t
gbd_settings_check (const gbd_settings_t *settings,
                    gbd_settings_report_t report, void *data)
{
  uint32_t problem_count = 0;
  for (size_t i = 0; i < sizeof rules / sizeof rules[0]; i++)
    {
      if (rules[i].holds (settings))
        continue;
      report (data, rules[i].setting, rules[i].problem, rules[i].remedy);
      problem_count++;
    }
  return problem_count;
}

static bool
cookie_has_echo_packets (const gbd_settings_t *settings)
{
  return !is_cookie (settings) || strcmp (settings->packet_form, "echo") == 0;
}

static bool
forms_fit_policy (const gbd_settings_t *settings)
{
  return is_cookie (settings)
         || (strcmp (settings->packet_form, "ip") == 0
             && strcmp (settings->platform_form, "own") == 0);
}

static bool
has_peer_listen (const gbd_settings_t *settings)
{
  return is_cookie (settings) || settings->peer_listen.family;
}

static bool
has_link_listen (const gbd_settings_t *settings)
{
  return is_cookie (settings) || settings->link_listen.family;
}

static bool
is_cookie (const gbd_settings_t *settings)
{
  return strcmp (settings->policy, GBD_POLICY_COOKIE) == 0;
}

static bool
has_group_key (const gbd_settings_t *settings)
{
  return is_cookie (settings) || settings->has_group_key;
}

static bool
has_complete_tls (const gbd_settings_t *settings)
{
  int set_count = (settings->tls_certificate[0] != '\0')
                  + (settings->tls_key[0] != '\0')
                  + (settings->tls_authority[0] != '\0');
  return set_count == 0 || set_count == 3;
}

static bool
has_tls_or_insecure_links (const gbd_settings_t *settings)
{
  return is_cookie (settings) || settings->insecure_links
         || settings->tls_certificate[0] || settings->tls_key[0]
         || settings->tls_authority[0];
}

static bool
has_no_tls_with_insecure_links (const gbd_settings_t *settings)
{
  return !settings->insecure_links || !settings->tls_certificate[0];
}

static bool
lease_timeout_spans_three_heartbeats (const gbd_settings_t *settings)
{
  return settings->lease_timeout_ms >= 3 * settings->heartbeat_ms;
}

static bool
failure_timeout_exceeds_lease_timeout (const gbd_settings_t *settings)
{
  return settings->failure_timeout_ms
         > settings->lease_timeout_ms + settings->heartbeat_ms;
}

static bool
udp_addresses_differ (const gbd_settings_t *settings)
{
  return !gbd_address_is_equal (&settings->fabric_listen,
                                &settings->peer_listen);
}

static bool
tcp_addresses_differ (const gbd_settings_t *settings)
{
  return !settings->link_listen.family
         || !gbd_address_is_equal (&settings->admin_listen,
                                   &settings->link_listen);
}

static bool
has_complete_warm_up (const gbd_settings_t *settings)
{
  return settings->warmup_overshoot.is_set == settings->warmup_slack.is_set;
}

static bool
reports_have_readers (const gbd_settings_t *settings)
{
  return !settings->reports_listen.family
         || (settings->group_view && settings->relay_listen.family
             && settings->relays.count > 0);
}

static bool
admin_is_local_or_has_token (const gbd_settings_t *settings)
{
  const gbd_address_t *listen = &settings->admin_listen;
  return listen->family == 0 || gbd_address_is_loopback (listen)
         || settings->admin_token[0];
}
