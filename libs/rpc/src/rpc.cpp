#include <rpc/rpc.h>

#include <atomic>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/server.h>

namespace trefoil {

namespace {

constexpr const char *methodName = "deliver";
constexpr const char *parameterName = "message";

/// Server connector without a transport: the HTTP listener passes in request text and takes the
/// response text.
class text_server_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *target) override
    {
        *static_cast<std::string *>(target) = response;
        return true;
    }
};

/// Returns the id of the next call. An answer with another one is that to an earlier call.
int nextCallId()
{
    static std::atomic<unsigned> lastId {0};
    constexpr unsigned maxId = 0x7fffffff;
    return static_cast<int>(++lastId & maxId);
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// Parses @p text. Returns null if it is not valid.
Json::Value parse(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return value;
    } catch (const Json::Exception &) {
        // It is nested too deeply.
    }
    return Json::Value();
}

} // namespace

/// The connector is a base class, so that it is constructed before the AbstractServer that takes a
/// reference to it.
class rpc_server::implementation : private text_server_connector,
                                   public jsonrpc::AbstractServer<rpc_server::implementation>
{
public:
    explicit implementation(rpc_handler handler)
        : jsonrpc::AbstractServer<implementation>(static_cast<text_server_connector &>(*this)),
          m_handler(std::move(handler))
    {
        const jsonrpc::Procedure procedure(methodName, jsonrpc::PARAMS_BY_NAME,
                                           jsonrpc::JSON_OBJECT, parameterName,
                                           jsonrpc::JSON_OBJECT, NULL);
        bindAndAddMethod(procedure, &implementation::deliver);
    }

    std::string answer(const std::string &request)
    {
        std::string response;
        OnRequest(request, &response);
        return response;
    }

private:
    void deliver(const Json::Value &parameters, Json::Value &answer)
    {
        answer = m_handler(parameters[parameterName]);
    }

    rpc_handler m_handler;
};

rpc_server::rpc_server(rpc_handler handler)
    : m_implementation(new implementation(std::move(handler)))
{ }

rpc_server::~rpc_server() = default;

std::string rpc_server::answer(const std::string &request)
{
    return m_implementation->answer(request);
}

bool rpcCall(const rpc_transport &transport, const Json::Value &message, Json::Value &answer,
             std::string &errorMessage)
{
    const int id = nextCallId();
    Json::Value call(Json::objectValue);
    call["jsonrpc"] = "2.0";
    call["id"] = id;
    call["method"] = methodName;
    call["params"][parameterName] = message;
    std::string text;
    if (!transport(toText(call), text)) {
        errorMessage = "the peer did not answer";
        return false;
    }
    const Json::Value response = parse(text);
    if (!response.isObject()) {
        errorMessage = "the peer's answer is not a JSON object";
        return false;
    }
    // A peer that can't read a call reports an error without its id.
    const bool isUnnamedError = response["id"].isNull() && response.isMember("error");
    if (!isUnnamedError && response["id"] != Json::Value(id)) {
        errorMessage = "the peer's answer is that to another call";
        return false;
    }
    if (isUnnamedError || !response.isMember("result")) {
        errorMessage = "the peer reported an error: " + toText(response["error"]);
        return false;
    }
    answer = response["result"];
    return true;
}

} // namespace trefoil
