#include "settings_table.h"

#include <string.h>

/** A rule between settings: what is reported when it does not hold. */
typedef struct
{
  bool (*holds) (const gbd_settings_t *settings);
  const char *setting;
  const char *wrong;
  const char *remedy;
} rule_t;

static bool cookie_has_room (const gbd_settings_t *settings);
static bool form_fits_policy (const gbd_settings_t *settings);
static bool has_peer_listen (const gbd_settings_t *settings);
static bool has_link_listen (const gbd_settings_t *settings);
static bool is_cookie (const gbd_settings_t *settings);
static bool has_group_key (const gbd_settings_t *settings);
static bool has_whole_tls (const gbd_settings_t *settings);
static bool has_tls_or_flag (const gbd_settings_t *settings);
static bool has_tls_or_flag_alone (const gbd_settings_t *settings);
static bool touch_has_three_heartbeats (const gbd_settings_t *settings);
static bool silence_exceeds_touch (const gbd_settings_t *settings);
static bool udp_addresses_differ (const gbd_settings_t *settings);
static bool tcp_addresses_differ (const gbd_settings_t *settings);
static bool admin_is_local_or_has_token (const gbd_settings_t *settings);

static const rule_t rules[] = {
  { cookie_has_room, "policy", "is cookie, but the packets carry none",
    "give --packet-form=echo, or another policy" },
  { form_fits_policy, "policy",
    "does not fit --packet-form or --platform-form",
    "give --policy=cookie with echo and objects" },
  { has_peer_listen, "peer-listen", "is missing",
    "give --peer-listen=ADDRESS:PORT, or --policy=cookie" },
  { has_link_listen, "link-listen", "is missing",
    "give --link-listen=ADDRESS:PORT, or --policy=cookie" },
  { has_group_key, "group-key", "is missing",
    "set GOOSEBERRYDRUM_GROUP_KEY, or --group-key-file, to 32 hexadecimal "
    "digits that the whole group has in common" },
  { has_whole_tls, "tls-certificate", "is given without its companions",
    "give --tls-certificate, --tls-key and --tls-authority together" },
  { has_tls_or_flag, "tls-certificate", "is missing",
    "give --tls-certificate, --tls-key and --tls-authority; in a test "
    "--insecure-links" },
  { has_tls_or_flag_alone, "insecure-links", "contradicts --tls-certificate",
    "remove one of the two" },
  { touch_has_three_heartbeats, "touch-timeout-ms",
    "is shorter than three heartbeats",
    "raise --touch-timeout-ms or lower --heartbeat-ms" },
  { silence_exceeds_touch, "silence-timeout-ms",
    "is not longer than --touch-timeout-ms and a heartbeat",
    "raise --silence-timeout-ms, so that an instance knows that it is out of "
    "touch before the others go on without it" },
  { udp_addresses_differ, "peer-listen", "is the same as --fabric-listen",
    "choose another port" },
  { tcp_addresses_differ, "admin-listen", "is the same as --link-listen",
    "choose another port" },
  { admin_is_local_or_has_token, "admin-listen",
    "is not a loopback address and there is no token",
    "set GOOSEBERRYDRUM_ADMIN_TOKEN or --admin-token-file, or use "
    "127.0.0.1" },
};

uint32_t
gbd_settings_check (const gbd_settings_t *settings,
                    gbd_settings_report_t report, void *data)
{
  uint32_t reports = 0;
  for (size_t i = 0; i < sizeof rules / sizeof rules[0]; i++)
    {
      if (rules[i].holds (settings))
        continue;
      report (data, rules[i].setting, rules[i].wrong, rules[i].remedy);
      reports++;
    }
  return reports;
}

static bool
cookie_has_room (const gbd_settings_t *settings)
{
  return !is_cookie (settings) || strcmp (settings->packet_form, "echo") == 0;
}

static bool
form_fits_policy (const gbd_settings_t *settings)
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
has_whole_tls (const gbd_settings_t *settings)
{
  int given = (settings->tls_certificate[0] != '\0')
              + (settings->tls_key[0] != '\0')
              + (settings->tls_authority[0] != '\0');
  return given == 0 || given == 3;
}

static bool
has_tls_or_flag (const gbd_settings_t *settings)
{
  return is_cookie (settings) || settings->insecure_links
         || settings->tls_certificate[0] || settings->tls_key[0]
         || settings->tls_authority[0];
}

static bool
has_tls_or_flag_alone (const gbd_settings_t *settings)
{
  return !settings->insecure_links || !settings->tls_certificate[0];
}

static bool
touch_has_three_heartbeats (const gbd_settings_t *settings)
{
  return settings->touch_timeout_ms >= 3 * settings->heartbeat_ms;
}

static bool
silence_exceeds_touch (const gbd_settings_t *settings)
{
  return settings->silence_timeout_ms
         > settings->touch_timeout_ms + settings->heartbeat_ms;
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
admin_is_local_or_has_token (const gbd_settings_t *settings)
{
  const gbd_address_t *listen = &settings->admin_listen;
  return listen->family == 0 || gbd_address_is_loopback (listen)
         || settings->admin_token[0];
}
