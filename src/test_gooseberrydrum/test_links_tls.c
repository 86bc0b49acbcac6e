#include "links_fixture.h"

#include <openssl/err.h>

#include "tls_identities.h"

#define PATH_LENGTH 96

/** The three files of one node. */
typedef struct
{
  char certificate[PATH_LENGTH];
  char key[PATH_LENGTH];
  char authority[PATH_LENGTH];
} files_t;

static char folder[] = "/tmp/gooseberrydrum-tls-XXXXXX";
static identity_t authority;
static identity_t foreign_authority;
static files_t files[NODES_MAX];

/* Give a node a new certificate of one authority, and trust in another. */
static void
write_files (int index, const identity_t *issuer, const identity_t *trusted)
{
  files_t *paths = &files[index];
  identity_t identity;
  snprintf (paths->certificate, PATH_LENGTH, "%s/%d.crt", folder, index);
  snprintf (paths->key, PATH_LENGTH, "%s/%d.key", folder, index);
  snprintf (paths->authority, PATH_LENGTH, "%s/%d.ca", folder, index);
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
  return mkdtemp (folder) ? 0 : -1;
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
  return rmdir (folder);
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
instances_of_one_authority_are_linked (void **state)
{
  (void)state;
  start_nodes (3);
  RUN_UNTIL (get_open (0) == 2 && get_open (1) == 2 && get_open (2) == 2);
  for (uint64_t version = 1; version <= 200; version++)
    {
      assert_int_equal (send_want (0, 2, version), GBD_OK);
      assert_int_equal (send_want (1, 1, version), GBD_OK);
    }
  RUN_UNTIL (nodes[0].received == 200 && nodes[1].received == 200);
  assert_int_equal (nodes[0].newest, 200);
  assert_int_equal (nodes[1].newest, 200);
}

static void
large_messages_arrive_over_tls (void **state)
{
  (void)state;
  enum
  {
    LARGE = (1 << 20) - 100
  };
  start_nodes (2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
  gbd_message_t table = { .type = GBD_MESSAGE_TABLE, .from = 2 };
  table.body.table.length = LARGE;
  table.body.table.bytes = calloc (1, LARGE);
  assert_int_equal (gbd_links_send (nodes[1].links, 1, &table), GBD_OK);
  assert_int_equal (send_want (1, 1, 9), GBD_OK);
  RUN_UNTIL (nodes[0].newest == 9);
  assert_int_equal (nodes[0].table_length, LARGE);
  free (table.body.table.bytes);
}

/* Either side may be the one with the foreign certificate. */
static void
a_foreign_certificate_is_refused (void **state)
{
  (void)state;
  for (int foreign = 0; foreign < 2; foreign++)
    {
      write_files (0, &authority, &authority);
      write_files (1, &authority, &authority);
      write_files (foreign, &foreign_authority, &authority);
      start_nodes (2);
      pass_time (10 * GBD_SECOND);
      run_rounds (2000);
      assert_int_equal (nodes[0].ups, 0);
      assert_int_equal (nodes[1].ups, 0);
      gbd_links_stats_t stats;
      gbd_links_get_stats (nodes[1 - foreign].links, &stats);
      assert_true (stats.refused > 0);
      assert_string_equal (stats.refusal,
                           "unable to get local issuer certificate");
      /* The refused one is told, too. */
      gbd_links_get_stats (nodes[foreign].links, &stats);
      assert_true (stats.refused > 0);
      assert_non_null (strstr (stats.refusal, "alert unknown ca"));
      stop_node (0);
      stop_node (1);
      choose_addresses ();
    }
}

/* A stranger with TLS that plays node 0, with or without a certificate. */
static void
greet_as_stranger (const files_t *paths)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  if (paths)
    {
      SSL_CTX_use_certificate_file (context, paths->certificate,
                                    SSL_FILETYPE_PEM);
      SSL_CTX_use_PrivateKey_file (context, paths->key, SSL_FILETYPE_PEM);
    }
  SSL *stranger = SSL_new (context);
  int fd = dial (1);
  SSL_set_fd (stranger, fd);
  gbd_message_t hello = { .type = GBD_MESSAGE_HELLO, .from = 1 };
  hello.body.hello.version_min = GBD_MESSAGE_VERSION;
  hello.body.hello.version_max = GBD_MESSAGE_VERSION;
  hello.body.hello.zone = 7;
  hello.body.hello.listen = addresses[0];
  strcpy (hello.body.hello.name, "stranger");
  size_t length;
  uint8_t *bytes = gbd_message_encode (&hello, &length);
  char answer[16];
  for (int i = 0; i < 500; i++)
    {
      run_round ();
      if (SSL_connect (stranger) == 1)
        {
          SSL_write (stranger, bytes, (int)length);
          SSL_read (stranger, answer, sizeof answer);
        }
      ERR_clear_error ();
    }
  RUN_UNTIL (is_closed (fd));
  free (bytes);
  SSL_free (stranger);
  SSL_CTX_free (context);
  close (fd);
}

static void
a_stranger_gets_nowhere (void **state)
{
  (void)state;
  start_node (1, 2);
  gbd_links_set_peers (nodes[1].links, addresses, 2);

  int plain = dial (1);
  assert_true (send (plain, "\0\0\0\5\x94\4\1\1\1", 9, MSG_NOSIGNAL) == 9);
  RUN_UNTIL (is_closed (plain));
  close (plain);
  greet_as_stranger (NULL);
  write_files (0, &foreign_authority, &authority);
  greet_as_stranger (&files[0]);
  assert_int_equal (nodes[1].ups, 0);
  gbd_links_stats_t stats;
  gbd_links_get_stats (nodes[1].links, &stats);
  assert_int_equal (stats.messages_received, 0);
  assert_int_equal (stats.refused, 3);
}

static void
reload_holds_for_later_links_only (void **state)
{
  (void)state;
  start_nodes (2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);

  /* Node 1 moves to another authority; the open link stays. */
  write_files (1, &foreign_authority, &foreign_authority);
  assert_int_equal (gbd_links_reload (nodes[1].links), GBD_OK);
  run_rounds (100);
  assert_int_equal (send_want (0, 2, 5), GBD_OK);
  assert_int_equal (send_want (1, 1, 6), GBD_OK);
  RUN_UNTIL (nodes[1].newest == 5 && nodes[0].newest == 6);
  assert_int_equal (nodes[0].downs + nodes[1].downs, 0);

  /* A later link needs both to have moved. */
  gbd_links_set_peers (nodes[1].links, NULL, 0);
  RUN_UNTIL (nodes[0].downs == 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  run_rounds (2000);
  assert_int_equal (nodes[1].ups, 1);
  write_files (0, &foreign_authority, &foreign_authority);
  assert_int_equal (gbd_links_reload (nodes[0].links), GBD_OK);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
}

static void
files_that_do_not_load_change_nothing (void **state)
{
  (void)state;
  static const char garbage[] = "-----BEGIN CERTIFICATE-----\nx\n";
  start_nodes (2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);
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
  RUN_UNTIL (nodes[0].downs == 1);
  gbd_links_set_peers (nodes[1].links, addresses, 2);
  RUN_UNTIL (get_open (0) == 1 && get_open (1) == 1);

  /* Nor does an instance start with them. */
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
    TLS_TEST (instances_of_one_authority_are_linked),
    TLS_TEST (large_messages_arrive_over_tls),
    TLS_TEST (a_foreign_certificate_is_refused),
    TLS_TEST (a_stranger_gets_nowhere),
    TLS_TEST (reload_holds_for_later_links_only),
    TLS_TEST (files_that_do_not_load_change_nothing),
  };
  return cmocka_run_group_tests (tests, make_authorities, remove_files);
}
