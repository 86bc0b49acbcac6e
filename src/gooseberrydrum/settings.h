/** @file settings.h
 *  Settings of `gooseberrydrum serve`: flags, environment variables, a file
 *  and defaults.
 *
 *  The flag --fabric-listen takes precedence over the variable
 *  GOOSEBERRYDRUM_FABRIC_LISTEN, the variable over the key "fabric-listen" in
 *  the group [serve] of the file that GOOSEBERRYDRUM_SETTINGS names, and the
 *  file over the default.  Secrets are read only from variables or from files
 *  of their own, as every user of the machine can see the flags of a process.
 *  All settings are checked before the program starts to serve.
 */
#ifndef PROGRAM_SETTINGS_H
#define PROGRAM_SETTINGS_H

#include <stdio.h>

#include "gooseberrydrum/types.h"

#define GBD_PATH_LENGTH_MAX 1023 /**< bytes, without the NUL */
#define GBD_TOKEN_LENGTH_MIN 16  /**< characters */
#define GBD_TOKEN_LENGTH_MAX 128 /**< characters */
#define GBD_GROUP_KEY_LENGTH 16  /**< bytes; twice as many hex digits */

/** The policy that needs no peers, tables or registrations. */
#define GBD_POLICY_COOKIE "cookie"

/** Variable with the path of the settings file. */
#define GBD_SETTINGS_FILE_VARIABLE "GOOSEBERRYDRUM_SETTINGS"

typedef char gbd_name_text_t[GBD_NAME_MAX + 1];
typedef char gbd_path_text_t[GBD_PATH_LENGTH_MAX + 1];

#define GBD_ADDRESS_LIST_MAX 3 /**< addresses in one list */

typedef struct
{
  uint32_t count;
  gbd_address_t addresses[GBD_ADDRESS_LIST_MAX];
} gbd_address_list_t;

/** A number that need not be specified. */
typedef struct
{
  bool is_set;
  double value;
} gbd_decimal_t;

/** Values of the settings, checked one by one and against each other.  Each
 *  field belongs to the flag of the same name, unless its comment names
 *  another flag. */
typedef struct
{
  gbd_name_text_t name;
  gbd_name_text_t zone;
  gbd_name_text_t group;
  gbd_address_t platform;
  gbd_address_t fabric_listen;
  gbd_address_t peer_listen;
  gbd_address_t link_listen;
  gbd_address_t admin_listen;                 /**< family 0: off */
  gbd_address_t ready_listen;                 /**< family 0: off */
  gbd_address_t metrics_listen;               /**< family 0: off */
  gbd_address_t relay_listen;                 /**< family 0: off */
  gbd_address_t reports_listen;               /**< family 0: off */
  gbd_address_list_t relays;                  /**< may be empty */
  const char *platform_form;                  /**< "own" or "objects" */
  const char *packet_form;                    /**< "ip" or "echo" */
  char admin_token[GBD_TOKEN_LENGTH_MAX + 1]; /**< empty if there is none */
  const char *policy;              /**< an argument for gbd_policy_find, or
                                        GBD_POLICY_COOKIE */
  gbd_path_text_t tls_certificate; /**< all three TLS files are set, or none */
  gbd_path_text_t tls_key;
  gbd_path_text_t tls_authority;
  bool insecure_links;
  bool probe_servers;
  bool first_start;
  bool group_view;
  bool zone_evacuation;
  gbd_decimal_t warmup_overshoot; /**< both are set, or none */
  gbd_decimal_t warmup_slack;
  uint32_t heartbeat_ms;
  uint32_t lease_timeout_ms;   /**< --touch-timeout-ms */
  uint32_t failure_timeout_ms; /**< --silence-timeout-ms */
  uint32_t stop_forward_ms;
  uint32_t cache_flows;
  uint32_t registry_flows;
  uint32_t hints_per_second;         /**< --teach-per-second */
  const char *partition_policy_name; /**< --cut-off-zone: "known", "own" or
                                          "any" */
  uint32_t bucket_count;
  int log_priority; /**< --log-level: a priority of syslog.h */
  uint8_t group_key[GBD_GROUP_KEY_LENGTH];
  bool has_group_key; /**< group_key was read, from its variable or from
                           group_key_file */
  gbd_path_text_t group_key_file;
  gbd_path_text_t admin_token_file;
} gbd_settings_t;

/** Reports one invalid setting.
 *  @param setting its flag, variable or key
 *  @param problem what is wrong with it
 *  @param remedy  how to correct it */
typedef void (*gbd_settings_report_t) (void *data, const char *setting,
                                       const char *problem,
                                       const char *remedy);

/** Read and check all settings; --help prints them and ends the program.
 *  @param argc,argv  known flags are removed
 *  @return GBD_OK, or GBD_ERROR_RANGE after at least one report. */
gbd_status_t gbd_settings_read (int *argc, char ***argv,
                                gbd_settings_t *settings,
                                gbd_settings_report_t report, void *data);

/** Like gbd_settings_read(), but logs event 102 for each report, and a
 *  warning for settings that are only suitable for tests. */
gbd_status_t gbd_settings_parse (int *argc, char ***argv,
                                 gbd_settings_t *settings);

/** Print the manual page in troff format. */
void gbd_settings_print_man (FILE *stream);

#endif
