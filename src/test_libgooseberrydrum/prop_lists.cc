#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberrydrum/lists.h"

extern "C"
{
#include "../libgooseberrydrum/json_lines.h"
}

namespace
{

/* One service of a random list.  There are few names and addresses, so that
   duplicates are frequent. */
struct entry_t
{
  int customer;
  int service;
  int address;
};

const char plans[]
    = "{\"plans\":[{\"name\":\"p\",\"services\":[\"s0\",\"s1\",\"s2\","
      "\"s3\",\"s4\",\"s5\"],\"open_flows\":1,\"new_flows_per_second\":1,"
      "\"idle_limit_s\":1,\"balance_percent\":0}]}";

std::string
address_text (int address)
{
  return "10.0.0." + std::to_string (address + 1) + ":443";
}

std::string
write_customers (const std::map<int, std::vector<entry_t> > &customers)
{
  std::string text = "{\"customers\":[";
  for (const auto &[customer, entries] : customers)
    {
      text += text.back () == '[' ? "" : ",";
      text += "{\"name\":\"c" + std::to_string (customer)
              + "\",\"plan\":\"p\",\"services\":[";
      for (const auto &entry : entries)
        {
          text += text.back () == '[' ? "" : ",";
          text += "{\"service\":\"s" + std::to_string (entry.service)
                  + "\",\"addresses\":[\"" + address_text (entry.address)
                  + "\"]}";
        }
      text += "]}";
    }
  return text + "]}";
}

bool
catalog_requires_unique_services_and_addresses ()
{
  return rc::check (
      "a catalog is created if and only if no service or address occurs twice",
      [] {
        const auto count = *rc::gen::inRange (0, 6);
        std::map<int, std::vector<entry_t> > customers;
        std::set<int> services;
        std::set<int> addresses;
        for (int i = 0; i < count; i++)
          {
            const entry_t entry
                = { *rc::gen::inRange (0, 3), *rc::gen::inRange (0, 6),
                    *rc::gen::inRange (0, 8) };
            customers[entry.customer].push_back (entry);
            services.insert (entry.service);
            addresses.insert (entry.address);
          }
        const bool is_unique = (int)services.size () == count
                               && (int)addresses.size () == count;
        const auto text = write_customers (customers);
        auto *errors = gbd_list_errors_new ();
        gbd_catalog_t *catalog = nullptr;
        gbd_lists_to_catalog (text.c_str (), plans, 1, errors, &catalog);
        RC_ASSERT ((catalog != nullptr) == is_unique);
        RC_ASSERT ((gbd_list_errors_get_count (errors) == 0) == is_unique);
        for (const auto &[customer, entries] : customers)
          for (const auto &entry : entries)
            {
              if (!catalog)
                continue;
              gbd_address_t address;
              gbd_address_parse (address_text (entry.address).c_str (),
                                 &address);
              const auto service = gbd_catalog_find (catalog, &address);
              RC_ASSERT (service != GBD_SERVICE_NONE);
              const auto *info = gbd_catalog_get_service (catalog, service);
              RC_ASSERT (info->name == "s" + std::to_string (entry.service));
              RC_ASSERT (
                  gbd_catalog_get_customer (catalog, info->customer)->name
                  == "c" + std::to_string (customer));
            }
        if (catalog)
          gbd_catalog_delete (catalog);
        gbd_list_errors_delete (errors);
      });
}

bool
corrupted_list_is_refused_or_accepted ()
{
  return rc::check (
      "a corrupted list either makes a catalog or is reported", [] {
        auto text = write_customers ({ { 0, { { 0, 0, 0 }, { 0, 1, 1 } } } });
        const auto at = *rc::gen::inRange<size_t> (0, text.size ());
        const auto byte = *rc::gen::inRange (1, 127);
        text[at] = (char)byte;
        auto *errors = gbd_list_errors_new ();
        gbd_catalog_t *catalog = nullptr;
        const auto status
            = gbd_lists_to_catalog (text.c_str (), plans, 1, errors, &catalog);
        RC_ASSERT ((status == GBD_OK) == (catalog != nullptr));
        RC_ASSERT ((status == GBD_OK)
                   == (gbd_list_errors_get_count (errors) == 0));
        if (catalog)
          gbd_catalog_delete (catalog);
        gbd_list_errors_delete (errors);
      });
}

bool
line_of_an_element_is_that_of_its_first_byte ()
{
  return rc::check ("the line of an element is that of its first byte", [] {
    const auto texts
        = *rc::gen::nonEmpty (rc::gen::container<std::vector<std::string> > (
            rc::gen::element<std::string> ("1", "\"a\\\"]\"",
                                           "{\"b\":[1,\n2]}", "[\n]")));
    const auto target = *rc::gen::inRange<size_t> (0, texts.size ());
    std::string text = "{\"k\\\"\": \"}\",\n\"list\": [";
    uint32_t line = 0;
    for (size_t i = 0; i < texts.size (); i++)
      {
        text += i ? "\n, " : "";
        if (i == target)
          line = 1 + (uint32_t)std::count (text.begin (), text.end (), '\n');
        text += texts[i];
      }
    text += "]}";
    const gbd_json_path_segment_t path[]
        = { { "list", 0 }, { nullptr, target } };
    RC_ASSERT (gbd_json_find_line (text.c_str (), path, 2) == line);
  });
}

}

int
main ()
{
  bool passed = catalog_requires_unique_services_and_addresses ();
  passed = corrupted_list_is_refused_or_accepted () && passed;
  passed = line_of_an_element_is_that_of_its_first_byte () && passed;
  return passed ? 0 : 1;
}
