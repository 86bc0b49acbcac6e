/** @file tls_identities.h
 *  Certificates that tests generate at run time.
 */
#ifndef TEST_TLS_IDENTITIES_H
#define TEST_TLS_IDENTITIES_H

#include <stdio.h>
#include <stdlib.h>

#include <openssl/pem.h>
#include <openssl/x509v3.h>

#define VALIDITY_S 3600

/** A certificate with its private key. */
typedef struct
{
  EVP_PKEY *key;
  X509 *certificate;
} identity_t;

/** Generate a certificate.
 *  @param issuer signs the certificate; NULL makes a self-signed CA */
static void
make_identity (identity_t *identity, const char *name,
               const identity_t *issuer)
{
  X509 *certificate = X509_new ();
  identity->key = EVP_EC_gen ("P-256");
  identity->certificate = certificate;
  assert_non_null (identity->key);
  X509_set_version (certificate, X509_VERSION_3);
  ASN1_INTEGER_set (X509_get_serialNumber (certificate), 1 + rand ());
  X509_gmtime_adj (X509_getm_notBefore (certificate), -VALIDITY_S);
  X509_gmtime_adj (X509_getm_notAfter (certificate), VALIDITY_S);
  X509_NAME *subject = X509_get_subject_name (certificate);
  X509_NAME_add_entry_by_txt (subject, "CN", MBSTRING_ASC,
                              (const unsigned char *)name, -1, -1, 0);
  X509_set_pubkey (certificate, identity->key);
  const identity_t *signer = issuer ? issuer : identity;
  X509_set_issuer_name (certificate,
                        X509_get_subject_name (signer->certificate));
  X509_EXTENSION *extension
      = X509V3_EXT_conf_nid (NULL, NULL, NID_basic_constraints,
                             issuer ? "CA:FALSE" : "critical,CA:TRUE");
  X509_add_ext (certificate, extension, -1);
  X509_EXTENSION_free (extension);
  assert_true (X509_sign (certificate, signer->key, EVP_sha256 ()) > 0);
}

static void
free_identity (identity_t *identity)
{
  EVP_PKEY_free (identity->key);
  X509_free (identity->certificate);
}

static void
write_certificate (const char *path, X509 *certificate)
{
  FILE *file = fopen (path, "w");
  assert_non_null (file);
  assert_int_equal (PEM_write_X509 (file, certificate), 1);
  fclose (file);
}

static void
write_key (const char *path, EVP_PKEY *key)
{
  FILE *file = fopen (path, "w");
  assert_non_null (file);
  assert_int_equal (
      PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL), 1);
  fclose (file);
}

#endif
