#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "standin_server.h"

ABSL_FLAG(std::string, address, "", "platform, engine, service: address:port to listen on");
ABSL_FLAG(std::string, name, "", "name of the stand-in; has no effect");
ABSL_FLAG(std::string, instances, "",
          "platform: names of the listed instances, separated by commas");
ABSL_FLAG(std::string, version, "v1", "engine: version of the loaded weights");
ABSL_FLAG(std::uint32_t, cache_blocks, 200, "engine: capacity of the prefix cache in blocks");
ABSL_FLAG(double, prefill_rate, 200000, "engine: prompt tokens processed per second");
ABSL_FLAG(int, token_ms, 2, "engine: milliseconds between generated tokens");
ABSL_FLAG(bool, fenced, false, "engine: refuse orders with an outdated fencing token");
ABSL_FLAG(std::string, target, "", "load: address:port to send requests to");
ABSL_FLAG(std::string, key, "", "load: API key");
ABSL_FLAG(std::string, model, "", "load: requested model");
ABSL_FLAG(int, requests, 500, "load: number of requests");
ABSL_FLAG(double, rate, 50, "load: requests per second");
ABSL_FLAG(std::uint32_t, prompt_bytes, 1024, "load: size of the shared prompt in bytes");
ABSL_FLAG(std::string, json, "", "load: file to append the result to");
ABSL_FLAG(std::string, label, "", "load: label of the result");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("standin platform|engine|service|load [FLAGS]");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "";
    trefoil::standin_options options;
    const std::string address = absl::GetFlag(FLAGS_address);
    const std::string target = absl::GetFlag(FLAGS_target);
    const bool isAddressValid = command == "load"
        ? trefoil::parseEndpoint(target, options.target)
        : trefoil::parseEndpoint(address, options.address);
    if (!isAddressValid) {
        std::cerr << "standin: --address or --target must be a numeric address and port\n";
        return 2;
    }
    options.name = absl::GetFlag(FLAGS_name);
    options.instances = absl::GetFlag(FLAGS_instances);
    options.version = absl::GetFlag(FLAGS_version);
    options.cacheBlocks = absl::GetFlag(FLAGS_cache_blocks);
    options.prefillRate = absl::GetFlag(FLAGS_prefill_rate);
    options.tokenIntervalMs = absl::GetFlag(FLAGS_token_ms);
    options.isFenced = absl::GetFlag(FLAGS_fenced);
    options.key = absl::GetFlag(FLAGS_key);
    options.model = absl::GetFlag(FLAGS_model);
    options.requests = absl::GetFlag(FLAGS_requests);
    options.rate = absl::GetFlag(FLAGS_rate);
    options.promptBytes = absl::GetFlag(FLAGS_prompt_bytes);
    options.json = absl::GetFlag(FLAGS_json);
    options.label = absl::GetFlag(FLAGS_label);
    if (command == "platform")
        return trefoil::runPlatform(options);
    if (command == "engine")
        return trefoil::runEngine(options);
    if (command == "service")
        return trefoil::runService(options);
    if (command == "load")
        return trefoil::runLoad(options);
    std::cerr << "standin: \"" << command << "\" is not one of platform, engine, service, load\n";
    return 2;
}
