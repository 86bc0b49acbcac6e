/** @file tls.h
 *  TLS session of one link over memory buffers: converts between bytes of the
 *  socket and plaintext, and does no socket I/O itself.
 *
 *  libwebsockets does not support TLS on outgoing raw sockets, so the links
 *  use OpenSSL with memory BIOs.  TLS 1.3 with mutual authentication: both
 *  sides need a certificate that the authority has signed.  Session
 *  resumption is off, so that reloaded files apply to every later link.
 */
#ifndef PROGRAM_TLS_H
#define PROGRAM_TLS_H

#include <openssl/ssl.h>

#include "gooseberrydrum/types.h"

/** PEM files. */
typedef struct
{
  const char *certificate; /**< certificate chain of this instance */
  const char *key;
  const char *authority; /**< CA that must have signed the other side's
                              certificate */
} gbd_tls_files_t;

/** Load the files into a new context for incoming and outgoing links.
 *  @param context set to the context, to be freed with SSL_CTX_free()
 *  @return GBD_OK; GBD_ERROR_FORMAT if a file cannot be loaded; or
 *  GBD_ERROR_MEMORY. */
gbd_status_t gbd_tls_load (const gbd_tls_files_t *files, SSL_CTX **context);

typedef struct gbd_tls gbd_tls_t;

/** Create the TLS session of a new connection and start the handshake.  A
 *  client session has output to send immediately.
 *  @return NULL if memory is exhausted. */
gbd_tls_t *gbd_tls_new (SSL_CTX *context, bool is_client);
void gbd_tls_delete (gbd_tls_t *tls);

/** Called with decrypted bytes; any other return value than GBD_OK stops
 *  gbd_tls_receive(). */
typedef gbd_status_t (*gbd_tls_callback_t) (void *data, const uint8_t *bytes,
                                            size_t length);

/** Process bytes received from the socket.  Plaintext is passed on only after
 *  the other side's certificate was verified.  After a callback that does not
 *  return GBD_OK the session is not accessed again, so that the callback may
 *  delete it.
 *  @return GBD_OK; GBD_ERROR_FORMAT if the other side violates the protocol,
 *  is refused, or refuses this side; GBD_ERROR_MEMORY; or the status that the
 *  callback returned. */
gbd_status_t gbd_tls_receive (gbd_tls_t *tls, const uint8_t *bytes,
                              size_t length, gbd_tls_callback_t callback,
                              void *data);

/** Reason why one side refused the other, or NULL. */
const char *gbd_tls_get_error (const gbd_tls_t *tls);

/** Whether the handshake is done, so that plaintext can be sent. */
bool gbd_tls_is_ready (const gbd_tls_t *tls);

/** Encrypt plaintext.  Call it only if gbd_tls_is_ready(). */
gbd_status_t gbd_tls_send (gbd_tls_t *tls, const uint8_t *bytes,
                           size_t length);

/** Whether there are bytes to write to the socket. */
bool gbd_tls_has_output (const gbd_tls_t *tls);

/** Remove bytes to write to the socket.  @return their number, at most size.
 */
size_t gbd_tls_read_output (gbd_tls_t *tls, uint8_t *bytes, size_t size);

#endif
