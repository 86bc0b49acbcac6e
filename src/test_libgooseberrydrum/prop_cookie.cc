#include <rapidcheck.h>

extern "C"
{
#include "gooseberrydrum/cookie.h"
}

static gbd_flow_t
make_flow (uint32_t caller, uint16_t port, uint16_t service_port)
{
  gbd_flow_t flow = {};
  flow.caller.family = 4;
  flow.service.family = 4;
  flow.caller.port = port;
  flow.service.port = service_port;
  for (int i = 0; i < 4; i++)
    flow.caller.ip[i] = (uint8_t)(caller >> (8 * i));
  return flow;
}

int
main ()
{
  bool is_passed = true;
  is_passed &= rc::check (
      "decoding a cookie returns its fingerprint",
      [] (uint64_t key, uint32_t caller, uint16_t port, uint32_t fingerprint) {
        gbd_flow_t flow = make_flow (caller, port, 443);
        uint32_t cookie = gbd_cookie_encode (key, &flow, fingerprint);
        RC_ASSERT (gbd_cookie_decode (key, &flow, cookie) == fingerprint);
      });
  is_passed &= rc::check (
      "different cookies decode to different fingerprints",
      [] (uint64_t key, uint32_t caller, uint32_t cookie, uint32_t other) {
        RC_PRE (cookie != other);
        gbd_flow_t flow = make_flow (caller, 1, 443);
        RC_ASSERT (gbd_cookie_decode (key, &flow, cookie)
                   != gbd_cookie_decode (key, &flow, other));
      });
  is_passed &= rc::check (
      "a cookie is valid only for its flow and key",
      [] (uint64_t key, uint32_t caller, uint16_t port, uint32_t fingerprint) {
        gbd_flow_t flow = make_flow (caller, port, 443);
        gbd_flow_t other_service = make_flow (caller, port, 444);
        gbd_flow_t other_caller
            = make_flow (caller, (uint16_t)(port + 1), 443);
        uint32_t cookie = gbd_cookie_encode (key, &flow, fingerprint);
        RC_ASSERT (gbd_cookie_decode (key, &other_service, cookie)
                   != fingerprint);
        RC_ASSERT (gbd_cookie_decode (key, &other_caller, cookie)
                   != fingerprint);
        RC_ASSERT (gbd_cookie_decode (key + 1, &flow, cookie) != fingerprint);
      });
  is_passed &= rc::check (
      "identifiers of 32 bits are their own fingerprints",
      [] (uint32_t id) { RC_ASSERT (gbd_cookie_fingerprint (id) == id); });
  return is_passed ? 0 : 1;
}
