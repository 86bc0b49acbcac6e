#include "tls.h"

#include <stdlib.h>

#include <openssl/err.h>

#define PLAINTEXT_LENGTH_MAX 16384 /* bytes of one TLS record */
/* Limit of the other side's certificate chain, in bytes. */
#define CHAIN_LENGTH_MAX 32768
/* Maximum TLS output that is waiting to be sent, in bytes. */
#define OUTPUT_LENGTH_MAX 65536

struct gbd_tls
{
  SSL *ssl;
  BIO *input;  /* from the socket; owned by ssl */
  BIO *output; /* to the socket; owned by ssl */
  const char *error;
};

static gbd_status_t load_files (SSL_CTX *context,
                                const gbd_tls_files_t *files);
static const char *get_error_text (const SSL *ssl);
static gbd_status_t read_plaintext (gbd_tls_t *tls,
                                    gbd_tls_callback_t callback, void *data);

gbd_status_t
gbd_tls_load (const gbd_tls_files_t *files, SSL_CTX **context)
{
  SSL_CTX *result = SSL_CTX_new (TLS_method ());
  if (!result)
    return GBD_ERROR_MEMORY;
  SSL_CTX_set_min_proto_version (result, TLS1_3_VERSION);
  SSL_CTX_set_session_cache_mode (result, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets (result, 0);
  SSL_CTX_set_max_cert_list (result, CHAIN_LENGTH_MAX);
  SSL_CTX_set_verify (result,
                      SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);

  gbd_status_t status = load_files (result, files);
  if (status != GBD_OK)
    {
      SSL_CTX_free (result);
      ERR_clear_error ();
      return status;
    }
  *context = result;
  return GBD_OK;
}

gbd_tls_t *
gbd_tls_new (SSL_CTX *context, bool is_client)
{
  gbd_tls_t *tls = calloc (1, sizeof *tls);
  if (!tls)
    return NULL;
  tls->ssl = SSL_new (context);
  tls->input = BIO_new (BIO_s_mem ());
  tls->output = BIO_new (BIO_s_mem ());
  if (!tls->ssl || !tls->input || !tls->output)
    {
      BIO_free (tls->input);
      BIO_free (tls->output);
      SSL_free (tls->ssl);
      free (tls);
      return NULL;
    }
  SSL_set_bio (tls->ssl, tls->input, tls->output);
  if (is_client)
    SSL_set_connect_state (tls->ssl);
  else
    SSL_set_accept_state (tls->ssl);
  SSL_do_handshake (tls->ssl);
  return tls;
}

void
gbd_tls_delete (gbd_tls_t *tls)
{
  if (!tls)
    return;
  SSL_free (tls->ssl);
  free (tls);
}

gbd_status_t
gbd_tls_receive (gbd_tls_t *tls, const uint8_t *bytes, size_t length,
                 gbd_tls_callback_t callback, void *data)
{
  size_t written;
  if (BIO_write_ex (tls->input, bytes, length, &written) != 1
      || written != length)
    return GBD_ERROR_MEMORY;
  return read_plaintext (tls, callback, data);
}

const char *
gbd_tls_get_error (const gbd_tls_t *tls)
{
  return tls->error;
}

bool
gbd_tls_is_ready (const gbd_tls_t *tls)
{
  return SSL_is_init_finished (tls->ssl);
}

gbd_status_t
gbd_tls_send (gbd_tls_t *tls, const uint8_t *bytes, size_t length)
{
  size_t written;
  ERR_clear_error ();
  if (SSL_write_ex (tls->ssl, bytes, length, &written) != 1
      || written != length)
    return GBD_ERROR_MEMORY;
  return GBD_OK;
}

bool
gbd_tls_has_output (const gbd_tls_t *tls)
{
  return BIO_ctrl_pending (tls->output) > 0;
}

size_t
gbd_tls_read_output (gbd_tls_t *tls, uint8_t *bytes, size_t size)
{
  size_t length;
  return BIO_read_ex (tls->output, bytes, size, &length) == 1 ? length : 0;
}

static gbd_status_t
load_files (SSL_CTX *context, const gbd_tls_files_t *files)
{
  bool is_loaded
      = SSL_CTX_load_verify_file (context, files->authority) == 1
        && SSL_CTX_use_certificate_chain_file (context, files->certificate)
               == 1
        && SSL_CTX_use_PrivateKey_file (context, files->key, SSL_FILETYPE_PEM)
               == 1
        && SSL_CTX_check_private_key (context) == 1;
  return is_loaded ? GBD_OK : GBD_ERROR_FORMAT;
}

static const char *
get_error_text (const SSL *ssl)
{
  long verified = SSL_get_verify_result (ssl);
  const char *reason = verified == X509_V_OK
                           ? ERR_reason_error_string (ERR_peek_error ())
                           : X509_verify_cert_error_string (verified);
  return reason ? reason : "the TLS session was closed";
}

static gbd_status_t
read_plaintext (gbd_tls_t *tls, gbd_tls_callback_t callback, void *data)
{
  for (;;)
    {
      uint8_t plaintext[PLAINTEXT_LENGTH_MAX];
      size_t length;
      ERR_clear_error ();
      if (SSL_read_ex (tls->ssl, plaintext, sizeof plaintext, &length) != 1)
        {
          int error = SSL_get_error (tls->ssl, 0);
          /* Close a session whose other side provokes TLS responses, such as
             key updates, but does not read them. */
          bool is_open
              = error == SSL_ERROR_WANT_READ
                && BIO_ctrl_pending (tls->output) <= OUTPUT_LENGTH_MAX;
          if (!is_open)
            tls->error = get_error_text (tls->ssl);
          return is_open ? GBD_OK : GBD_ERROR_FORMAT;
        }
      gbd_status_t status = callback (data, plaintext, length);
      if (status != GBD_OK)
        return status;
    }
}
