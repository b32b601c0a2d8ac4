#include <filesystem>
#include <fstream>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <core/json.h>
#include <gtest/gtest.h>

#include "fake_store.h"
#include "verbs.h"

namespace trefoil {

namespace {

constexpr const char *cleanText = R"({"version": 7,
 "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "kind": "safe", "service": "s",
             "max_attempts": 2}],
 "services": [{"name": "s"}],
 "tenants": [{"name": "t", "api_keys": ["sk-1", "sk-2"]}]})";
constexpr const char *badText = R"({"version": 8,
 "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "kind": "safe", "service": "s",
             "max_attempts": 3, "timeout_ms": 0}],
 "services": [{"name": "s"}],
 "tenants": [{"name": "t", "api_keys": ["sk-2", "sk-3"]}, {"name": "u", "api_keys": ["sk-3"]}]})";
constexpr const char *brokenText =
    "{\"version\": 8,\n \"tenants\": [{\"api_keys\": [-sk-4, sk-5]}]}";

endpoint unusedAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {.host = "127.0.0.1", .port = socket.address().port()};
}

/// The fake store opens its listener in a thread of its own.
bool isListening(const endpoint &address)
{
    const timestamp end = boot_clock::now() + std::chrono::seconds(5);
    while (boot_clock::now() < end) {
        try {
            const Poco::Net::StreamSocket socket(
                Poco::Net::SocketAddress(address.host, address.port));
            return true;
        } catch (const Poco::Exception &) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    return false;
}

Json::Value serverEntry(const char *state)
{
    return *parseJson(std::string(R"({"service":"s","address":"127.0.0.1:9","zone":"z",)")
                          + R"("version":"v","slots":1,"state":")" + state + "\"}",
                      "server");
}

class verb_check_test : public testing::Test
{
protected:
    verb_check_test()
        : folder(std::filesystem::temp_directory_path()
                 / ("verb_check_test." + std::to_string(getpid())))
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directory(folder);
    }
    ~verb_check_test() override { std::filesystem::remove_all(folder); }

    std::string write(const char *name, std::string_view text) const
    {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    }

    /// Runs the check and returns its exit status. Its output must hold no key.
    int check(const check_options &options)
    {
        testing::internal::CaptureStdout();
        testing::internal::CaptureStderr();
        const int status = runCheck(options);
        out = testing::internal::GetCapturedStdout();
        err = testing::internal::GetCapturedStderr();
        for (const std::string *each : {&out, &err})
            EXPECT_EQ(each->find("sk-"), std::string::npos) << *each;
        // Paths differ between runs.
        for (std::size_t at = out.find(folder.string()); at != std::string::npos;
             at = out.find(folder.string()))
            out.erase(at, folder.string().size() + 1);
        return status;
    }

    std::filesystem::path folder;
    std::string out;
    std::string err;
};

} // namespace

// Guards against a clean configuration that is held back.
TEST_F(verb_check_test, CleanConfigurationExitsWith0)
{
    const std::string file = write("c.json", cleanText);
    EXPECT_EQ(check({.configuration = file}), 0);
    EXPECT_EQ(out, "no findings\n");
    EXPECT_EQ(check({.configuration = file, .inForceFile = file}), 0);
    EXPECT_EQ(out, "no findings\nno differences from c.json\n");
    EXPECT_EQ(check({.configuration = file, .inForceFile = file, .output = check_output::Report}),
              0);
    EXPECT_EQ(out, "{\"differences\":[],\"findings\":[]}\n");
}

TEST_F(verb_check_test, FindingsExitWith1AndDifferencesAreShown)
{
    const std::string before = write("before.json", cleanText);
    const std::string after = write("after.json", badText);
    EXPECT_EQ(check({.configuration = after, .inForceFile = before}), 1);
    EXPECT_EQ(out,
              "after.json:3:47: routes[0].timeout_ms: at 0, every request is late before it is "
              "sent\n"
              "after.json:5:86: tenants[1].api_keys[0]: this key belongs to team \"t\" too\n"
              "differences from before.json:\n"
              "changed  routes[r].max_attempts: 2 -> 3\n"
              "added    routes[r].timeout_ms: 0\n"
              "changed  tenants[t].api_keys: \"(2 secrets, 1 withdrawn)\" -> \"(2 secrets, 1 "
              "new)\"\n"
              "added    tenants[u]: {\"api_keys\":\"(1 secret)\",\"name\":\"u\"}\n"
              "changed  version: 7 -> 8\n");
    // A difference alone is no finding.
    EXPECT_EQ(check({.configuration = before, .inForceFile = after}), 0);
    EXPECT_EQ(
        check({.configuration = after, .inForceFile = before, .output = check_output::Report}), 1);
    const Json::Value report = *parseJson(out, "report");
    ASSERT_EQ(report["findings"].size(), 2u);
    EXPECT_EQ(report["findings"][0]["file"], "after.json");
    EXPECT_EQ(report["findings"][0]["line"], 3);
    EXPECT_EQ(report["findings"][0]["field"], "routes[0].timeout_ms");
    ASSERT_EQ(report["differences"].size(), 5u);
    EXPECT_EQ(report["differences"][0]["before"], 2);
    EXPECT_EQ(report["differences"][0]["after"], 3);
}

TEST_F(verb_check_test, SyntaxErrorsAreFindings)
{
    const std::string before = write("before.json", cleanText);
    const std::string after = write("after.json", brokenText);
    EXPECT_EQ(check({.configuration = after, .inForceFile = before}), 1);
    EXPECT_TRUE(out.starts_with("after.json:2:29: not valid JSON")) << out;
    EXPECT_NE(out.find("not compared with before.json, because the document is malformed"),
              std::string::npos)
        << out;
    EXPECT_EQ(
        check({.configuration = after, .inForceFile = before, .output = check_output::Report}), 1);
    EXPECT_TRUE((*parseJson(out, "report"))["differences"].isNull());
}

// Guards against a status 0 or 1 of a check that did not run.
TEST_F(verb_check_test, WhatCanNotRunExitsWith2)
{
    const std::string clean = write("c.json", cleanText);
    const std::string broken = write("broken.json", brokenText);
    const std::string table = write("t.yaml", "pools: []\n");
    std::filesystem::create_directory(folder / "empty");
    const std::string empty = (folder / "empty").string();
    const std::string closed = toString(unusedAddress());
    const std::vector<check_options> rows {
        {},
        {.configuration = clean + ".none"},
        {.routesFile = empty},
        {.configuration = empty},
        {.configuration = folder.string()}, // two configurations
        {.poolsFile = table, .configuration = table},
        {.configuration = clean, .inForceFile = clean + ".none"},
        {.configuration = clean, .inForceFile = broken},
        {.configuration = clean, .inForceFile = table},
        {.configuration = table, .inForceFile = clean},
        {.configuration = clean, .inForceFile = clean, .store = closed},
        {.configuration = clean, .store = closed},
        {.configuration = clean, .store = "store"},
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
        EXPECT_EQ(check(rows[i]), 2) << i;
        EXPECT_EQ(out, "") << i;
        EXPECT_FALSE(err.empty()) << i;
    }
}

TEST_F(verb_check_test, FolderHoldsConfigurationAndTables)
{
    write("c.json", cleanText);
    write("notes.txt", "not read");
    write("pools.yml",
          "pools:\n  - name: p\n    credential: sk-old\n    servers:\n"
          "      - {name: s, zone: z, address: '127.0.0.1:80'}\n");
    write("routes.yaml", "routes:\n  - {name: r, model: m, pool: q, open: true}\n");
    EXPECT_EQ(check({.configuration = folder.string()}), 1);
    EXPECT_EQ(out,
              "pools.yml:2:11: pools[0].name: no route uses pool \"p\"\n"
              "routes.yaml:2:31: routes[0].pool: route \"r\": pool \"q\" does not exist\n");
    const std::string other = (folder / "other").string();
    std::filesystem::create_directory(other);
    std::filesystem::copy(folder / "pools.yml", folder / "other");
    write("other/none.yaml", "name: x\n");
    EXPECT_EQ(check({.configuration = other}), 1);
    EXPECT_EQ(out,
              "other/none.yaml:1:1: neither a routes table (fields teams and routes) nor a pools "
              "table (field pools)\n");
    write("other/none.yaml", "name: [\n");
    EXPECT_EQ(check({.configuration = other}), 1);
    EXPECT_TRUE(out.starts_with("other/none.yaml:2:1: not valid YAML")) << out;
    const std::string after = write("after.yaml",
                                    "pools:\n  - name: p\n    credential: sk-new\n    servers:\n"
                                    "      - {name: s, zone: y, address: '127.0.0.1:80'}\n");
    EXPECT_EQ(check({.poolsFile = after, .inForceFile = (folder / "pools.yml").string()}), 0);
    EXPECT_EQ(out,
              "no findings\ndifferences from pools.yml:\n"
              "changed  pools[p].credential: \"(secret)\" -> \"(secret)\"\n"
              "changed  pools[p].servers[s].zone: \"z\" -> \"y\"\n");
}

TEST_F(verb_check_test, StoreGivesTheVersionInForceAndTheServers)
{
    const std::string file = write("c.json", cleanText);
    const endpoint address = unusedAddress();
    soak::fake_store store(address);
    const check_options options {.configuration = file, .store = toString(address)};
    ASSERT_TRUE(isListening(address));
    // The store holds no configuration yet.
    EXPECT_EQ(check(options), 2);
    EXPECT_EQ(err, "check: the store answered 404 to /objects/config/main\n");
    store.put("config", "main", *parseJson(badText, "bad"));
    EXPECT_EQ(check(options), 1) << err;
    EXPECT_TRUE(out.starts_with("c.json:4:24: services[0].name: service \"s\" has no server\n"
                                "differences from the store's configuration:\n"
                                "changed  routes[r].max_attempts: 3 -> 2\n"))
        << out;
    store.put("servers", "i-1", serverEntry("ready"));
    store.put("servers", "i-2", serverEntry("draining"));
    store.put("servers", "i-3", serverEntry("unknown"));
    EXPECT_EQ(check(options), 1) << err;
    EXPECT_TRUE(out.starts_with("c.json:3:30: routes[0].max_attempts: 2 attempts are more than the "
                                "1 servers of the route's services\n"))
        << out;
    store.put("servers", "i-2", serverEntry("ready"));
    EXPECT_EQ(check(options), 0) << err;
    store.setFault(soak::store_fault::Down);
    EXPECT_EQ(check(options), 2);
}

} // namespace trefoil
