#include "links_fixture.h"

#include <openssl/err.h>

#include "tls_identities.h"

#define PATH_LENGTH 96

/** Paths of a node's three PEM files. */
typedef struct
{
  char certificate[PATH_LENGTH];
  char key[PATH_LENGTH];
  char authority[PATH_LENGTH];
} files_t;

static char directory[] = "/tmp/gooseberrydrum-tls-XXXXXX";
static identity_t authority;
static identity_t foreign_authority;
static files_t files[NODES_MAX];

/* Writes a new certificate signed by the issuer, and the CA certificate that
   the node trusts. */
static void
write_files (int index, const identity_t *issuer, const identity_t *trusted)
{
  files_t *paths = &files[index];
  identity_t identity;
  snprintf (paths->certificate, PATH_LENGTH, "%s/%d.crt", directory, index);
  snprintf (paths->key, PATH_LENGTH, "%s/%d.key", directory, index);
  snprintf (paths->authority, PATH_LENGTH, "%s/%d.ca", directory, index);
  make_identity (&identity, "instance", issuer);
  write_certificate (paths->certificate, identity.certificate);
  write_certificate (paths->authority, trusted->certificate);
  write_key (paths->key, identity.key);
  free_identity (&identity);

  nodes[index].settings.certificate = paths->certificate;
  nodes[index].settings.key = paths->key;
  nodes[index].settings.authority = paths->authority;
}

static int
make_authorities (void **state)
{
  (void)state;
  make_identity (&authority, "authority", NULL);
  make_identity (&foreign_authority, "foreign authority", NULL);
  return mkdtemp (directory) ? 0 : -1;
}

static int
remove_files (void **state)
{
  (void)state;
  for (int i = 0; i < NODES_MAX; i++)
    {
      unlink (files[i].certificate);
      unlink (files[i].key);
      unlink (files[i].authority);
    }
  free_identity (&authority);
  free_identity (&foreign_authority);
  return rmdir (directory);
}

static int
set_up_certificates (void **state)
{
  set_up (state);
  for (int i = 0; i < NODES_MAX; i++)
    write_files (i, &authority, &authority);
  return 0;
}

static void
instances_with_a_common_authority_connect (void **state)
{
  (void)state;
  start_nodes (3);
  RUN_UNTIL (count_open_links (0) == 2 && count_open_links (1) == 2
             && count_open_links (2) == 2);
  for (uint64_t version = 1; version <= 200; version++)
    {
      assert_int_equal (send_table_request (0, 2, version), GBD_OK);
      assert_int_equal (send_table_request (1, 1, version), GBD_OK);
    }
  RUN_UNTIL (nodes[0].received == 200 && nodes[1].received == 200);
  assert_int_equal (nodes[0].last_version, 200);
  assert_int_equal (nodes[1].last_version, 200);
}

static void
large_messages_arrive_over_tls (void **state)
{
  (void)state;
  enum
  {
    LARGE_LENGTH = (1 << 20) - 100
  };
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 2 };
  table.body.table.length = LARGE_LENGTH;
  table.body.table.bytes = calloc (1, LARGE_LENGTH);
  assert_int_equal (gbd_links_send (nodes[1].links, 1, &table), GBD_OK);
  assert_int_equal (send_table_request (1, 1, 9), GBD_OK);
  RUN_UNTIL (nodes[0].last_version == 9);
  assert_int_equal (nodes[0].table_length, LARGE_LENGTH);
  free (table.body.table.bytes);
}

/* The certificate of either side may come from a foreign CA. */
static void
certificate_of_foreign_authority_is_refused (void **state)
{
  (void)state;
  for (int foreign = 0; foreign < 2; foreign++)
    {
      write_files (0, &authority, &authority);
      write_files (1, &authority, &authority);
      write_files (foreign, &foreign_authority, &authority);
      start_nodes (2);
      advance_time (10 * GBD_SECOND);
      run_rounds (2000);
      assert_int_equal (nodes[0].up_count, 0);
      assert_int_equal (nodes[1].up_count, 0);
      gbd_links_stats_t stats;
      gbd_links_get_stats (nodes[1 - foreign].links, &stats);
      assert_true (stats.refused > 0);
      assert_string_equal (stats.refusal,
                           "unable to get local issuer certificate");
      /* The refused side receives the TLS alert. */
      gbd_links_get_stats (nodes[foreign].links, &stats);
      assert_true (stats.refused > 0);
      assert_non_null (strstr (stats.refusal, "alert unknown ca"));
      stop_node (0);
      stop_node (1);
      choose_free_addresses ();
    }
}

/* Connects as node 0 over TLS, with or without a certificate. */
static void
connect_without_trusted_certificate (const files_t *paths)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  if (paths)
    {
      SSL_CTX_use_certificate_file (context, paths->certificate,
                                    SSL_FILETYPE_PEM);
      SSL_CTX_use_PrivateKey_file (context, paths->key, SSL_FILETYPE_PEM);
    }
  SSL *client = SSL_new (context);
  int fd = connect_socket (1);
  SSL_set_fd (client, fd);
  gbd_message_t hello = { .type = GBD_MESSAGE_HELLO, .from = 1 };
  hello.body.hello.version_min = GBD_MESSAGE_VERSION;
  hello.body.hello.version_max = GBD_MESSAGE_VERSION;
  hello.body.hello.zone = 7;
  hello.body.hello.listen = addresses[0];
  strcpy (hello.body.hello.name, "client");
  size_t length;
  uint8_t *bytes = gbd_message_encode (&hello, &length);
  char response[16];
  for (int i = 0; i < 500; i++)
    {
      run_round ();
      if (SSL_connect (client) == 1)
        {
          SSL_write (client, bytes, (int)length);
          SSL_read (client, response, sizeof response);
        }
      ERR_clear_error ();
    }
  RUN_UNTIL (is_closed (fd));
  free (bytes);
  SSL_free (client);
  SSL_CTX_free (context);
  close (fd);
}

static void
untrusted_connections_are_refused (void **state)
{
  (void)state;
  start_node (1, 2);
  gbd_links_set_peers (nodes[1].links, addresses, 2);

  int plain = connect_socket (1);
  assert_true (send (plain, "\0\0\0\5\x94\4\1\1\1", 9, MSG_NOSIGNAL) == 9);
  RUN_UNTIL (is_closed (plain));
  close (plain);
  connect_without_trusted_certificate (NULL);
  write_files (0, &foreign_authority, &authority);
  connect_without_trusted_certificate (&files[0]);
  assert_int_equal (nodes[1].up_count, 0);
  gbd_links_stats_t stats;
  gbd_links_get_stats (nodes[1].links, &stats);
  assert_int_equal (stats.messages_received, 0);
  assert_int_equal (stats.refused, 3);
}

static void
reload_applies_to_new_links_only (void **state)
{
  (void)state;
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);

  /* Node 1 changes to another CA; the open link stays up. */
  write_files (1, &foreign_authority, &foreign_authority);
  assert_int_equal (gbd_links_reload (nodes[1].links), GBD_OK);
  run_rounds (100);
  assert_int_equal (send_table_request (0, 2, 5), GBD_OK);
  assert_int_equal (send_table_request (1, 1, 6), GBD_OK);
  RUN_UNTIL (nodes[1].last_version == 5 && nodes[0].last_version == 6);
  assert_int_equal (nodes[0].down_count + nodes[1].down_count, 0);

  /* A new link is possible only when both nodes have changed. */
  gbd_links_set_peers (nodes[1].links, NULL, 0);
  RUN_UNTIL (nodes[0].down_count == 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  run_rounds (2000);
  assert_int_equal (nodes[1].up_count, 1);
  write_files (0, &foreign_authority, &foreign_authority);
  assert_int_equal (gbd_links_reload (nodes[0].links), GBD_OK);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
}

static void
invalid_files_leave_certificates_unchanged (void **state)
{
  (void)state;
  static const char garbage[] = "-----BEGIN CERTIFICATE-----\nx\n";
  start_nodes (2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);
  char *const paths[]
      = { files[1].certificate, files[1].key, files[1].authority };
  for (size_t i = 0; i < 3; i++)
    {
      write_files (1, &authority, &authority);
      FILE *file = fopen (paths[i], "w");
      assert_non_null (file);
      fputs (garbage, file);
      fclose (file);
      assert_int_equal (gbd_links_reload (nodes[1].links), GBD_ERROR_FORMAT);
    }
  gbd_links_set_peers (nodes[1].links, NULL, 0);
  RUN_UNTIL (nodes[0].down_count == 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  RUN_UNTIL (count_open_links (0) == 1 && count_open_links (1) == 1);

  /* A new instance does not start with such files. */
  static const gbd_links_callbacks_t callbacks
      = { on_up, on_down, on_received };
  const char *error = NULL;
  gbd_links_settings_t settings = nodes[1].settings;
  settings.listen = addresses[2];
  assert_null (
      gbd_links_new (nodes[1].context, &settings, &callbacks, NULL, &error));
  assert_non_null (strstr (error, "--tls-authority"));
}

int
main (void)
{
#define TLS_TEST(test)                                                        \
  cmocka_unit_test_setup_teardown (test, set_up_certificates, tear_down)
  const struct CMUnitTest tests[] = {
    TLS_TEST (instances_with_a_common_authority_connect),
    TLS_TEST (large_messages_arrive_over_tls),
    TLS_TEST (certificate_of_foreign_authority_is_refused),
    TLS_TEST (untrusted_connections_are_refused),
    TLS_TEST (reload_applies_to_new_links_only),
    TLS_TEST (invalid_files_leave_certificates_unchanged),
  };
  return cmocka_run_group_tests (tests, make_authorities, remove_files);
}
