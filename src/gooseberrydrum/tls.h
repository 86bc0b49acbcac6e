/** @file tls.h
 *  TLS of one link, apart from its socket: bytes of the socket in, plain bytes
 *  out, and the reverse.
 *
 *  The library's own TLS does not connect raw sockets, so that the links run
 *  OpenSSL over buffers.  Both sides show a certificate that the authority has
 *  signed; TLS 1.3 only, without resumption, so that files which are loaded
 *  again hold for every later link.
 */
#ifndef PROGRAM_TLS_H
#define PROGRAM_TLS_H

#include <openssl/ssl.h>

#include "gooseberrydrum/types.h"

/** PEM files. */
typedef struct
{
  const char *certificate; /**< chain of this instance */
  const char *key;
  const char *authority; /**< who must have signed the other side */
} gbd_tls_files_t;

/** Load files into a context for both directions.
 *  @param context set to the context, to be freed with SSL_CTX_free
 *  @return GBD_OK; GBD_ERROR_FORMAT if the files do not load; or
 *  GBD_ERROR_MEMORY. */
gbd_status_t gbd_tls_load (const gbd_tls_files_t *files, SSL_CTX **context);

typedef struct gbd_tls gbd_tls_t;

/** TLS of a new connection; the connecting side has output at once.
 *  @return NULL when memory is short. */
gbd_tls_t *gbd_tls_new (SSL_CTX *context, bool connects);
void gbd_tls_delete (gbd_tls_t *tls);

/** Called with plain bytes; anything but GBD_OK stops. */
typedef gbd_status_t (*gbd_tls_visit_t) (void *data, const uint8_t *bytes,
                                         size_t length);

/** Take in bytes of the socket.  Plain bytes come only once the other side's
 *  certificate was verified.  After anything but GBD_OK the TLS is not touched
 *  again, so that the visitor may delete it.
 *  @return GBD_OK; GBD_ERROR_FORMAT when the other side breaks the protocol or
 *  is refused; GBD_ERROR_MEMORY; or what the visitor returned. */
gbd_status_t gbd_tls_receive (gbd_tls_t *tls, const uint8_t *bytes,
                              size_t length, gbd_tls_visit_t visit,
                              void *data);

/** Why the other side was refused or refused this one; NULL if neither. */
const char *gbd_tls_get_error (const gbd_tls_t *tls);

/** Whether plain bytes can be sent: the handshake is done. */
bool gbd_tls_is_ready (const gbd_tls_t *tls);

/** Encrypt plain bytes; only once ready. */
gbd_status_t gbd_tls_send (gbd_tls_t *tls, const uint8_t *bytes,
                           size_t length);

bool gbd_tls_has_output (const gbd_tls_t *tls);

/** Take bytes for the socket.  @return how many, at most size. */
size_t gbd_tls_take_output (gbd_tls_t *tls, uint8_t *bytes, size_t size);

#endif
