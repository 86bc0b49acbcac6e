/** @file cookie.h
 *  Routing cookies: 32 bits that the packets of a flow carry, so that any
 *  instance can forward them.
 *
 *  A cookie is a keyed permutation of the fingerprint of a backend server.
 *  The key is derived from the group's secret and the flow's addresses.  An
 *  instance that has the secret and the list of backend servers decodes a
 *  cookie without further state.  A caller cannot use the cookie of one flow
 *  for another, nor choose the backend server of a forged cookie; the
 *  probability that a forged cookie is valid is the number of backend servers
 *  divided by 2^32.  The underlying hash is fast but not cryptographically
 *  secure; a guessed cookie leads to a backend server that does not have the
 *  flow and responds with a reset.
 */
#ifndef GOOSEBERRYDRUM_COOKIE_H
#define GOOSEBERRYDRUM_COOKIE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/packet.h"

GBD_BEGIN_DECLS

typedef uint32_t gbd_cookie_t;
typedef uint32_t gbd_fingerprint_t;

/** Fingerprint of a backend server: its identifier reduced to 32 bits.
 *  Identifiers below 2^32 have distinct fingerprints. */
gbd_fingerprint_t gbd_cookie_fingerprint (gbd_backend_id_t id);

/** Encode the cookie of a backend server on one flow.
 *  @param key secret of the group, the same on all instances */
gbd_cookie_t gbd_cookie_encode (uint64_t key, const gbd_flow_t *flow,
                                gbd_fingerprint_t fingerprint);

/** Decode a cookie; every 32-bit value decodes to some fingerprint. */
gbd_fingerprint_t gbd_cookie_decode (uint64_t key, const gbd_flow_t *flow,
                                     gbd_cookie_t cookie);

GBD_END_DECLS
#endif
