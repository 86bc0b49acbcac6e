/** @file cookie.h
 *  Routing cookies: 32 bits that a packet format carries back to whichever
 *  instance receives the next packet of a flow.
 *
 *  A cookie is a permutation, keyed by the group's secret and by the flow's
 *  addresses, of a backend server's fingerprint.  Every instance that has the
 *  key and the list of backend servers reads it without further state.  A
 *  caller can neither take a cookie from one flow to another nor choose the
 *  backend server that an invented one names: the odds are the number of
 *  backend servers in 2^32.  The hash below it is fast and not made to resist
 *  cryptanalysis; a cookie that is found out leads to a backend server that
 *  holds no such flow and answers with a reset.
 */
#ifndef GOOSEBERRYDRUM_COOKIE_H
#define GOOSEBERRYDRUM_COOKIE_H

#include "gooseberrydrum/decls.h"
#include "gooseberrydrum/packet.h"

GBD_BEGIN_DECLS

typedef uint32_t gbd_cookie_t;
typedef uint32_t gbd_fingerprint_t;

/** Fingerprint of a backend server: its identifier folded to 32 bits.  Two
 *  identifiers below 2^32 never share one. */
gbd_fingerprint_t gbd_cookie_fingerprint (gbd_backend_id_t id);

/** Cookie that names a backend server on one flow.
 *  @param key secret of the group, the same at all instances */
gbd_cookie_t gbd_cookie_make (uint64_t key, const gbd_flow_t *flow,
                              gbd_fingerprint_t fingerprint);

/** Fingerprint that a cookie holds; any 32 bits have one. */
gbd_fingerprint_t gbd_cookie_read (uint64_t key, const gbd_flow_t *flow,
                                   gbd_cookie_t cookie);

GBD_END_DECLS
#endif
