#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/adapter.h"

#define NOW (1000 * GBD_SECOND)

static const gbd_packet_codec_t *const codec = &gbd_packet_codec_echo;
static const gbd_platform_api_t *const platform_api
    = &gbd_platform_api_objects;

/* SYN from 100.64.0.7:40001 to 198.18.0.1:443, the example of the platform's
   documentation. */
static const uint8_t sample[32]
    = { 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x11,
        0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x04, 0x00, 0x01, 0xbb,
        0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41 };
/* The reset in response to this SYN. */
static const uint8_t sample_reset[32]
    = { 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x9c, 0x41,
        0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb };

static void
packets_match_the_documented_examples (void **state)
{
  (void)state;
  gbd_packet_t packet;
  char text[GBD_ADDRESS_TEXT_MAX];
  assert_int_equal (codec->parse (sample, sizeof sample, &packet),
                    GBD_DROP_NONE);
  assert_int_equal (packet.kind, GBD_PACKET_OPENING);
  assert_int_equal (packet.sequence, 0x11223344);
  gbd_address_format (&packet.flow.caller, text);
  assert_string_equal (text, "100.64.0.7:40001");
  gbd_address_format (&packet.flow.service, text);
  assert_string_equal (text, "198.18.0.1:443");

  uint8_t reset[GBD_RESET_LENGTH_MAX];
  assert_int_equal (codec->build_reset (&packet, reset), sizeof sample_reset);
  assert_memory_equal (reset, sample_reset, sizeof sample_reset);
}

static void
set_cookie_changes_only_the_cookie (void **state)
{
  (void)state;
  uint8_t bytes[sizeof sample];
  gbd_packet_t packet;
  memcpy (bytes, sample, sizeof sample);
  codec->set_cookie (bytes, 0xdeadbeef);
  assert_int_equal (codec->parse (bytes, sizeof bytes, &packet),
                    GBD_DROP_NONE);
  assert_int_equal (packet.cookie, 0xdeadbeef);
  memcpy (bytes + 6, sample + 6, 4);
  assert_memory_equal (bytes, sample, sizeof sample);
}

typedef struct
{
  const char *label;
  size_t length;
  uint8_t flags;
  uint16_t data_length;
  gbd_drop_t drop;
} bad_packet_t;

static const bad_packet_t bad_packets[] = {
  { "valid", 32, 4, 0, GBD_DROP_NONE },
  { "data", 42, 32, 10, GBD_DROP_NONE },
  { "empty", 0, 4, 0, GBD_DROP_TRUNCATED },
  { "short header", 31, 4, 0, GBD_DROP_TRUNCATED },
  { "less data than the length field", 41, 32, 10, GBD_DROP_BAD_LENGTH },
  { "more data than the length field", 43, 32, 10, GBD_DROP_BAD_LENGTH },
  { "too long", 1233, 32, 1201, GBD_DROP_BAD_LENGTH },
  { "unknown flag", 32, 64, 0, GBD_DROP_BAD_FLAGS },
  { "SYN and ACK of a server", 32, 4 | 32, 0, GBD_DROP_BAD_FLAGS },
  { "SYN and FIN", 32, 4 | 16, 0, GBD_DROP_BAD_FLAGS },
  { "reset", 32, 2, 0, GBD_DROP_NONE },
};

static void
bad_packets_are_dropped_with_the_expected_reason (void **state)
{
  (void)state;
  uint8_t bytes[2048];
  for (size_t i = 0; i < sizeof bad_packets / sizeof bad_packets[0]; i++)
    {
      const bad_packet_t *row = &bad_packets[i];
      gbd_packet_t packet;
      print_message ("%s\n", row->label);
      memset (bytes, 0, sizeof bytes);
      memcpy (bytes, sample, sizeof sample);
      bytes[4] = (uint8_t)(row->data_length >> 8);
      bytes[5] = (uint8_t)row->data_length;
      bytes[18] = row->flags;
      assert_int_equal (codec->parse (bytes, row->length, &packet), row->drop);
    }
}

static void
prefix_holds_the_backend_server_identifier (void **state)
{
  (void)state;
  static const uint8_t expected[8]
      = { 0x00, 0x00, 0x00, 0x9f, 0xa5, 0xc0, 0x46, 0x7d };
  uint8_t prefix[GBD_PREFIX_LENGTH_MAX];
  assert_int_equal (codec->prefix_length, sizeof expected);
  codec->write_prefix (0x9fa5c0467d, prefix);
  assert_memory_equal (prefix, expected, sizeof expected);
}

#define VALID_FIELDS                                                          \
  "'backend':'web','address':'10.128.0.9:8080','zone':'a','version':'v1',"    \
  "'max_concurrency':2,'state':'ready','warmup_left_ms':0,'sequence':4"

typedef struct
{
  const char *label;
  const char *name;
  const char *text;
  bool is_valid;
} entry_case_t;

static const entry_case_t entry_cases[] = {
  { "valid", "i-7f3a91c2", "{" VALID_FIELDS "}", true },
  { "start time", "i-9fa5c0467d", "{" VALID_FIELDS ",'born':1700000000000}",
    true },
  { "new field", "i-7f3a91c2", "{" VALID_FIELDS ",'colour':'red'}", true },
  { "null", "i-7f3a91c2", "null", false },
  { "text", "i-7f3a91c2", "'hello'", false },
  { "empty", "i-7f3a91c2", "{}", false },
  { "no digits in the name", "i-", "{" VALID_FIELDS "}", false },
  { "other name", "i-server", "{" VALID_FIELDS "}", false },
  { "state of another type", "i-7f3a91c2",
    "{'backend':'web','address':'10.128.0.9:8080','zone':'a',"
    "'max_concurrency':2,'state':1}",
    false },
  { "unknown state", "i-7f3a91c2",
    "{'backend':'web','address':'10.128.0.9:8080','zone':'a',"
    "'max_concurrency':2,'state':'resting'}",
    false },
  { "address without port", "i-7f3a91c2",
    "{'backend':'web','address':'10.128.0.9','zone':'a','max_concurrency':2,"
    "'state':'ready'}",
    false },
  { "slots as text", "i-7f3a91c2",
    "{'backend':'web','address':'10.128.0.9:8080','zone':'a',"
    "'max_concurrency':'2','state':'ready'}",
    false },
};

static json_t *
parse_json (const char *text)
{
  char *copy = strdup (text);
  for (char *at = copy; *at; at++)
    *at = *at == '\'' ? '"' : *at;
  json_t *value = json_loads (copy, JSON_DECODE_ANY, NULL);
  free (copy);
  assert_non_null (value);
  return value;
}

static void
invalid_entries_are_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof entry_cases / sizeof entry_cases[0]; i++)
    {
      const entry_case_t *row = &entry_cases[i];
      gbd_pool_entry_t entry;
      const char *problem = NULL;
      json_t *value = parse_json (row->text);
      print_message ("%s\n", row->label);
      gbd_status_t status = platform_api->read_server (row->name, value, NOW,
                                                       &entry, &problem);
      assert_int_equal (status, row->is_valid ? GBD_OK : GBD_ERROR_FORMAT);
      assert_non_null (problem);
      json_decref (value);
    }
}

static void
entry_fields_are_decoded (void **state)
{
  (void)state;
  gbd_pool_entry_t entry;
  const char *problem = NULL;
  json_t *value = parse_json (
      "{'backend':'web','address':'10.128.0.9:8080','zone':'a',"
      "'max_concurrency':3,'state':'draining','warmup_left_ms':250,"
      "'born':1700000000001}");
  assert_int_equal (
      platform_api->read_server ("i-7f3a91c2", value, NOW, &entry, &problem),
      GBD_OK);
  json_decref (value);
  assert_int_equal (entry.backend.id, 0x7f3a91c2);
  assert_int_equal (entry.backend.zone, gbd_zone_from_name ("a"));
  assert_int_equal (entry.backend.state, GBD_BACKEND_DRAINING);
  assert_int_equal (entry.service, gbd_id_from_name ("web"));
  assert_int_equal (entry.slots, 3);
  assert_int_equal (entry.warm_at, NOW + 250 * GBD_MILLISECOND);
  assert_int_equal (entry.start_time_ms, 1700000000001);
  assert_string_equal (entry.name, "i-7f3a91c2");
}

#define ROUTE_A                                                               \
  "{'name':'r-1','host':'198.18.0.1','path_prefix':'/8080/',"                 \
  "'route_type':'upload','backend':'web'}"
#define ROUTE_B                                                               \
  "{'name':'r-2','host':'198.18.0.1','path_prefix':'/443/',"                  \
  "'weighted_backends':[{'backend':'web','weight':90},"                       \
  "{'backend':'mail','weight':10}]}"

static const entry_case_t routes_cases[] = {
  { "valid", NULL, "{'version':7,'routes':[" ROUTE_A "," ROUTE_B "]}", true },
  { "empty list", NULL, "{'version':7,'routes':[]}", true },
  { "warm-up", NULL,
    "{'version':7,'routes':[],'backends':[{'name':'web','warmup_s':2.0,"
    "'warmup_per_s':12.5}]}",
    true },
  { "negative warm-up rate", NULL,
    "{'version':7,'routes':[],'backends':[{'name':'web','warmup_per_s':-1}]}",
    false },
  { "warm-up rate that is too large", NULL,
    "{'version':7,'routes':[],'backends':[{'name':'web',"
    "'warmup_per_s':1000001}]}",
    false },
  { "warm-up that is too long", NULL,
    "{'version':7,'routes':[],'backends':[{'name':'web','warmup_s':601}]}",
    false },
  { "warm-up that is no number", NULL,
    "{'version':7,'routes':[],'backends':[{'name':'web','warmup_s':'2'}]}",
    false },
  { "service without a name", NULL,
    "{'version':7,'routes':[],'backends':[{'warmup_s':2}]}", false },
  { "negative priority", NULL,
    "{'version':7,'routes':[{'host':'198.18.0.1','path_prefix':'/1/',"
    "'backend':'web','priority':-1}]}",
    false },
  { "time limit that is no number", NULL,
    "{'version':7,'routes':[{'host':'198.18.0.1','path_prefix':'/1/',"
    "'backend':'web','timeout_ms':true}]}",
    false },
  { "no version", NULL, "{'routes':[]}", false },
  { "no routes", NULL, "{'version':7}", false },
  { "duplicate address", NULL,
    "{'version':7,'routes':[" ROUTE_A "," ROUTE_A "]}", false },
  { "no service", NULL,
    "{'version':7,'routes':[{'host':'198.18.0.1','path_prefix':'/1/'}]}",
    false },
  { "no port", NULL,
    "{'version':7,'routes':[{'host':'198.18.0.1','path_prefix':'//',"
    "'backend':'web'}]}",
    false },
  { "no address", NULL,
    "{'version':7,'routes':[{'host':'example','path_prefix':'/1/',"
    "'backend':'web'}]}",
    false },
};

static void
invalid_routes_are_rejected_with_a_reason (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof routes_cases / sizeof routes_cases[0]; i++)
    {
      const char *problem = NULL;
      json_t *value = parse_json (routes_cases[i].text);
      print_message ("%s\n", routes_cases[i].label);
      gbd_routes_t *routes = platform_api->read_routes (value, &problem);
      assert_int_equal (routes != NULL, routes_cases[i].is_valid);
      assert_non_null (problem);
      gbd_routes_delete (routes);
      json_decref (value);
    }
  const char *problem = NULL;
  json_t *value = parse_json (routes_cases[0].text);
  gbd_routes_t *routes = platform_api->read_routes (value, &problem);
  gbd_address_t address;
  gbd_address_parse ("198.18.0.1:443", &address);
  const gbd_route_t *route = gbd_routes_find (routes, &address);
  assert_int_equal (gbd_routes_get_version (routes), 7);
  assert_int_equal (route->target_count, 2);
  assert_int_equal (route->targets[1].service, gbd_id_from_name ("mail"));
  assert_int_equal (route->targets[1].weight, 10);
  gbd_routes_delete (routes);
  json_decref (value);
}

typedef struct
{
  const char *text;
  const char *problem;
} problem_case_t;

/* The first error decides. */
static const problem_case_t problem_cases[] = {
  { "{'routes':[]}", "version or routes are missing" },
  { "{'version':7}", "version or routes are missing" },
  { "{'version':7,'routes':[{}," ROUTE_A "," ROUTE_A "]}",
    "a route is invalid" },
  { "{'version':7,'routes':[" ROUTE_A "," ROUTE_A ",{}]}",
    "two routes share an address" },
  { "{'version':7,'routes':[],'backends':[{}]}",
    "warmup_s or warmup_per_s of a service is invalid" },
  { "{'version':7,'routes':[{}],'backends':[{}]}", "a route is invalid" },
};

/* Guards against other causes in event 204: monitoring and the documentation
   of operators refer to these texts. */
static void
cause_of_rejected_routes_is_that_of_the_first_error (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof problem_cases / sizeof problem_cases[0]; i++)
    {
      const char *problem = NULL;
      json_t *value = parse_json (problem_cases[i].text);
      assert_null (platform_api->read_routes (value, &problem));
      assert_string_equal (problem, problem_cases[i].problem);
      json_decref (value);
    }
}

typedef struct
{
  const char *limits;
  gbd_time_t idle_timeout;
} limits_case_t;

static const limits_case_t limits_cases[] = {
  { "{\"idle_timeout_ms\":15000}", 15 * GBD_SECOND },
  { "{}", 0 },
  { "null", 0 },
  { "{\"idle_timeout_ms\":-1}", 0 },
  { "{\"idle_timeout_ms\":\"15 s\"}", 0 },
  { "{\"idle_timeout_ms\":9223372036854775807}", 0 },
};

static void
idle_timeout_is_read_from_the_limits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof limits_cases / sizeof limits_cases[0]; i++)
    {
      char text[128];
      const char *problem = NULL;
      snprintf (text, sizeof text,
                "{\"version\":7,\"routes\":[],\"limits\":%s}",
                limits_cases[i].limits);
      json_t *value = parse_json (text);
      gbd_routes_t *routes = platform_api->read_routes (value, &problem);
      assert_non_null (routes);
      assert_int_equal (gbd_routes_get_idle_timeout (routes),
                        limits_cases[i].idle_timeout);
      gbd_routes_delete (routes);
      json_decref (value);
    }
}

typedef struct
{
  const char *kind;
  bool is_idempotent;
} route_kind_case_t;

static const route_kind_case_t route_kind_cases[] = {
  { "idempotent", true }, { "download", true }, { "non_idempotent", false },
  { "upload", false },    { "unknown", false },
};

/* Guards against waiting for a backend server that does not respond although
   the caller may repeat its request: downloads are idempotent too. */
static void
route_kinds_tell_which_requests_may_be_repeated (void **state)
{
  (void)state;
  gbd_address_t address;
  gbd_address_parse ("198.18.0.1:443", &address);
  for (size_t i = 0; i < sizeof route_kind_cases / sizeof route_kind_cases[0];
       i++)
    {
      const route_kind_case_t *row = &route_kind_cases[i];
      const char *problem = NULL;
      json_t *value
          = json_pack ("{s:i, s:[{s:s, s:s, s:s, s:s}]}", "version", 7,
                       "routes", "host", "198.18.0.1", "path_prefix", "/443/",
                       "route_type", row->kind, "backend", "web");
      gbd_routes_t *routes = platform_api->read_routes (value, &problem);
      print_message ("%s\n", row->kind);
      assert_int_equal (gbd_routes_find (routes, &address)->is_idempotent,
                        row->is_idempotent);
      gbd_routes_delete (routes);
      json_decref (value);
    }
}

typedef struct
{
  const char *label;
  const char *response;
  const char *expected; /* NULL: not a valid response */
} response_case_t;

static const response_case_t response_cases[] = {
  { "page",
    "{'items':[{'meta':{'name':'a','mod_revision':3},'spec':{'x':1}}],"
    "'has_more':true,'at_revision':9}",
    "{'version':9,'more':true,'items':[{'name':'a','version':3,"
    "'value':{'x':1}}]}" },
  { "events",
    "{'events':[{'deleted':true,'object':{'meta':{'name':'a',"
    "'mod_revision':3},'spec':{'x':1}}}],'at_revision':10}",
    "{'version':10,'changes':[{'name':'a','version':3,'value':null}]}" },
  { "object",
    "{'meta':{'name':'a','mod_revision':4},'spec':'text','status':null}",
    "{'name':'a','version':4,'value':'text'}" },
  { "item of another type", "{'items':[7],'at_revision':9}",
    "{'version':9,'more':false,'items':[{'name':'','version':-1,"
    "'value':null}]}" },
  { "error", "{'error':'busy'}", NULL },
};

static void
responses_are_translated_to_the_native_api (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof response_cases / sizeof response_cases[0]; i++)
    {
      const response_case_t *row = &response_cases[i];
      print_message ("%s\n", row->label);
      json_t *native = platform_api->translate (parse_json (row->response));
      json_t *expected = row->expected ? parse_json (row->expected) : NULL;
      assert_true (native == expected || json_equal (native, expected));
      json_decref (native);
      json_decref (expected);
    }
  assert_null (platform_api->translate (NULL));
}

static void
requests_are_built_as_documented (void **state)
{
  (void)state;
  gbd_platform_request_t request = { 0 };
  json_t *value = json_pack ("{s:s}", "key", "1f");
  platform_api->list ("servers", NULL, false, &request);
  assert_string_equal (request.path, "/objects/servers");
  free (request.path);
  platform_api->list ("servers", "i-1 2", false, &request);
  assert_string_equal (request.path, "/objects/servers?after=i-1%202");
  free (request.path);
  platform_api->list ("servers", NULL, true, &request);
  assert_string_equal (request.path, "/objects/servers?stale_ok=1");
  free (request.path);
  platform_api->list ("servers", "i-1 2", true, &request);
  assert_string_equal (request.path,
                       "/objects/servers?after=i-1%202&stale_ok=1");
  free (request.path);
  platform_api->get ("mine", "a", true, &request);
  assert_string_equal (request.path, "/objects/mine/a?stale_ok=1");
  free (request.path);
  platform_api->watch ("servers", 530, 20000, false, &request);
  assert_string_equal (request.path,
                       "/objects/servers?watch=530&wait_ms=20000");
  free (request.path);
  platform_api->watch ("servers", 530, 20000, true, &request);
  assert_string_equal (request.path,
                       "/objects/servers?watch=530&wait_ms=20000&stale_ok=1");
  free (request.path);
  platform_api->put ("mine", "a", 0, value, &request);
  assert_string_equal (request.method, "POST");
  assert_string_equal (request.path, "/objects/mine");
  assert_string_equal (request.body, "{\"meta\":{\"name\":\"a\","
                                     "\"finalizers\":[]},\"spec\":{\"key\":"
                                     "\"1f\"}}");
  free (request.path);
  free (request.body);
  platform_api->put ("mine", "a", 12, value, &request);
  assert_string_equal (request.method, "PUT");
  assert_string_equal (request.path, "/objects/mine/a");
  assert_non_null (strstr (request.body, "\"mod_revision\":12"));
  free (request.path);
  free (request.body);
  json_decref (value);
}

/* One malformed message must not end the process.  Changes bytes of valid
   responses at random; the sanitizers check the memory accesses. */
static void
changed_responses_are_decoded_or_refused (void **state)
{
  (void)state;
  static const char *const responses[] = {
    "{\"items\":[{\"meta\":{\"name\":\"i-1f\",\"mod_revision\":7},"
    "\"spec\":{\"backend\":\"web\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
    "\"state\":\"ready\",\"max_concurrency\":2,\"warmup_left_ms\":900,"
    "\"born\":1790360949012}}],\"has_more\":false,\"at_revision\":9}",
    "{\"events\":[{\"object\":{\"meta\":{\"name\":\"i-1f\","
    "\"mod_revision\":7}},\"deleted\":true}],\"at_revision\":9}",
    "{\"items\":[{\"meta\":{\"name\":\"main\",\"mod_revision\":7},\"spec\":"
    "{\"version\":3,\"routes\":[{\"host\":\"198.18.0.1\",\"path_prefix\":"
    "\"/443/\",\"backend\":\"web\",\"route_type\":\"idempotent\"}],"
    "\"backends\":[{\"name\":\"web\"}]}}],\"at_revision\":9}",
  };
  uint32_t random = 20261204;
  for (int round = 0; round < 30000; round++)
    {
      char text[512];
      const char *source
          = responses[(size_t)round % (sizeof responses / sizeof *responses)];
      size_t length = strlen (source);
      assert_true (length < sizeof text);
      memcpy (text, source, length);
      for (int change = 0; change < 1 + round % 4; change++)
        {
          random = random * 1664525u + 1013904223u;
          static const char values[] = "0-\"{}[]:,x9\x80\\";
          text[(random >> 8) % length]
              = values[(random >> 24) % (sizeof values - 1)];
        }
      json_t *body
          = platform_api->translate (platform_api->parse (text, length));
      size_t index;
      json_t *object;
      json_array_foreach (json_object_get (body, "items"), index, object)
      {
        gbd_pool_entry_t entry;
        const char *problem = NULL;
        const char *name
            = json_string_value (json_object_get (object, "name"));
        json_t *value = json_object_get (object, "value");
        if (!name || !value || json_is_null (value))
          continue;
        platform_api->read_server (name, value, NOW, &entry, &problem);
        gbd_routes_delete (platform_api->read_routes (value, &problem));
      }
      json_decref (body);
    }
}

static void
priority_times_and_warm_up_are_read (void **state)
{
  (void)state;
  const char *problem = NULL;
  gbd_address_t address;
  gbd_address_parse ("198.18.0.1:443", &address);
  json_t *value = parse_json (
      "{'version':7,'routes':[{'host':'198.18.0.1','path_prefix':'/443/',"
      "'backend':'web','priority':2,'target_latency_ms':500,"
      "'timeout_ms':2500}],'backends':[{'name':'web','warmup_s':2.0,"
      "'warmup_per_s':12.5},{'name':'mail'}]}");
  gbd_routes_t *routes = platform_api->read_routes (value, &problem);
  assert_non_null (routes);
  const gbd_route_t *route = gbd_routes_find (routes, &address);
  assert_int_equal (route->priority, 2);
  assert_int_equal (route->response_goal, 500 * GBD_MILLISECOND);
  assert_int_equal (route->time_limit, 2500 * GBD_MILLISECOND);
  gbd_warm_up_limits_t limits
      = gbd_routes_get_warm_up (routes, gbd_id_from_name ("web"));
  assert_int_equal (limits.duration, 2 * GBD_SECOND);
  assert_float_equal (limits.rate, 12.5, 0);
  assert_string_equal (limits.name, "web");
  limits = gbd_routes_get_warm_up (routes, gbd_id_from_name ("mail"));
  assert_int_equal (limits.duration, 0);
  assert_float_equal (limits.rate, 0, 0);
  gbd_routes_delete (routes);
  json_decref (value);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (packets_match_the_documented_examples),
    cmocka_unit_test (set_cookie_changes_only_the_cookie),
    cmocka_unit_test (bad_packets_are_dropped_with_the_expected_reason),
    cmocka_unit_test (prefix_holds_the_backend_server_identifier),
    cmocka_unit_test (invalid_entries_are_rejected),
    cmocka_unit_test (entry_fields_are_decoded),
    cmocka_unit_test (invalid_routes_are_rejected_with_a_reason),
    cmocka_unit_test (cause_of_rejected_routes_is_that_of_the_first_error),
    cmocka_unit_test (route_kinds_tell_which_requests_may_be_repeated),
    cmocka_unit_test (priority_times_and_warm_up_are_read),
    cmocka_unit_test (responses_are_translated_to_the_native_api),
    cmocka_unit_test (requests_are_built_as_documented),
    cmocka_unit_test (idle_timeout_is_read_from_the_limits),
    cmocka_unit_test (changed_responses_are_decoded_or_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
