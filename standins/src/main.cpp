#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "standin_server.h"

ABSL_FLAG(std::string, address, "", "address:port to listen on");
ABSL_FLAG(std::string, name, "", "name");
ABSL_FLAG(std::string, instances, "", "platform: names in its list of instances");
ABSL_FLAG(std::string, version, "v1", "engine: version of the weights");
ABSL_FLAG(std::uint32_t, cache_blocks, 200, "engine: blocks in its cache");
ABSL_FLAG(double, prefill_rate, 200000, "engine: prompt tokens a second");
ABSL_FLAG(int, token_ms, 2, "engine: milliseconds between tokens");
ABSL_FLAG(bool, fenced, false, "engine: refuse orders with an old fencing number");
ABSL_FLAG(std::string, target, "", "load: address:port");
ABSL_FLAG(std::string, key, "", "load: caller's key");
ABSL_FLAG(std::string, model, "", "load: model");
ABSL_FLAG(int, requests, 500, "load: number of requests");
ABSL_FLAG(double, rate, 50, "load: requests a second");
ABSL_FLAG(std::uint32_t, prompt_bytes, 1024, "load: bytes of the shared prompt");
ABSL_FLAG(std::string, json, "", "load: file that the result is appended to");
ABSL_FLAG(std::string, label, "", "load: label of the result");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin platform|engine|service|load [FLAGS]");
    const std::vector<char *> left = absl::ParseCommandLine(argc, argv);
    const std::string verb = left.size() > 1 ? left[1] : "";
    trefoil::standin_options options;
    const std::string address = absl::GetFlag(FLAGS_address);
    const std::string target = absl::GetFlag(FLAGS_target);
    const bool placed = verb == "load" ? trefoil::parseEndpoint(target, options.target)
                                       : trefoil::parseEndpoint(address, options.address);
    if (!placed) {
        std::cerr << "standin: --address or --target must be a numeric address and port\n";
        return 2;
    }
    options.name = absl::GetFlag(FLAGS_name);
    options.instances = absl::GetFlag(FLAGS_instances);
    options.version = absl::GetFlag(FLAGS_version);
    options.cacheBlocks = absl::GetFlag(FLAGS_cache_blocks);
    options.prefillRate = absl::GetFlag(FLAGS_prefill_rate);
    options.tokenMilliseconds = absl::GetFlag(FLAGS_token_ms);
    options.fenced = absl::GetFlag(FLAGS_fenced);
    options.key = absl::GetFlag(FLAGS_key);
    options.model = absl::GetFlag(FLAGS_model);
    options.requests = absl::GetFlag(FLAGS_requests);
    options.rate = absl::GetFlag(FLAGS_rate);
    options.promptBytes = absl::GetFlag(FLAGS_prompt_bytes);
    options.json = absl::GetFlag(FLAGS_json);
    options.label = absl::GetFlag(FLAGS_label);
    if (verb == "platform")
        return trefoil::runPlatform(options);
    if (verb == "engine")
        return trefoil::runEngine(options);
    if (verb == "service")
        return trefoil::runService(options);
    if (verb == "load")
        return trefoil::runLoad(options);
    std::cerr << "standin: \"" << verb << "\" is not one of platform, engine, service, load\n";
    return 2;
}
