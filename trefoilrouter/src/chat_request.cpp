#include "chat_request.h"

#include <simdjson.h>

#include <core/json.h>

namespace trefoil {

namespace {

namespace ondemand = simdjson::ondemand;

static_assert(requestPadding >= simdjson::SIMDJSON_PADDING);

/// Returns @p token without trailing white space.
std::string_view trimmed(std::string_view token)
{
    const std::size_t end = token.find_last_not_of(" \t\r\n");
    return token.substr(0, end == std::string_view::npos ? 0 : end + 1);
}

/// Adds the text of a message's content, which is a string or a list of content parts.
void addContent(ondemand::value content, chat_request &request)
{
    const ondemand::json_type type = content.type();
    if (type == ondemand::json_type::string) {
        request.prompt.push_back(trimmed(content.raw_json_token()));
        return;
    }
    if (type != ondemand::json_type::array)
        return;
    for (ondemand::value part : content.get_array()) {
        if (part.type() != ondemand::json_type::object)
            continue;
        for (ondemand::field field : part.get_object()) {
            const std::string_view key = field.unescaped_key();
            ondemand::value value = field.value();
            if (key == "text" && value.type() == ondemand::json_type::string)
                request.prompt.push_back(trimmed(value.raw_json_token()));
        }
    }
}

void addMessages(ondemand::value messages, chat_request &request)
{
    for (ondemand::value message : messages.get_array()) {
        for (ondemand::field field : message.get_object()) {
            const std::string_view key = field.unescaped_key();
            ondemand::value value = field.value();
            if (key == "content")
                addContent(value, request);
            else if (key == "role")
                request.prompt.push_back(trimmed(value.raw_json_token()));
        }
    }
}

void readField(std::string_view key, ondemand::value value, chat_request &request)
{
    if (key == "model") {
        request.modelLiteral = trimmed(value.raw_json_token());
        request.model = std::string(std::string_view(value.get_string()));
    } else if (key == "stream") {
        request.stream = bool(value.get_bool());
    } else if (key == "max_tokens" || key == "max_completion_tokens") {
        if (value.type() == ondemand::json_type::number)
            request.maxTokens = std::int64_t(value.get_int64());
    } else if (key == "messages") {
        addMessages(value, request);
    } else if (key == "prompt") {
        addContent(value, request);
    }
}

} // namespace

result<chat_request> readChatRequest(const std::string &body)
{
    chat_request request;
    thread_local ondemand::parser parser;
    try {
        ondemand::document document =
            parser.iterate(body.data(), body.size(), body.size() + requestPadding);
        for (ondemand::field field : document.get_object()) {
            const std::string_view key = field.unescaped_key();
            readField(key, field.value(), request);
        }
        // simdjson reports OUT_OF_BOUNDS here if nothing follows the object.
        if (document.current_location().error() != simdjson::OUT_OF_BOUNDS)
            return failure("bad-json", "the body has something behind its JSON object");
    } catch (const simdjson::simdjson_error &exception) {
        return failure("bad-json", std::string("the body can't be read: ") + exception.what());
    }
    if (request.model.empty())
        return failure("bad-request", "field \"model\" is missing");
    if (request.prompt.empty())
        return failure("bad-request", "field \"messages\" or \"prompt\" is missing");
    if (request.maxTokens < 0)
        return failure("bad-request", "field \"max_tokens\" must not be negative");
    return request;
}

std::size_t body_segments::size() const
{
    std::size_t total = 0;
    for (const std::string_view segment : segments)
        total += segment.size();
    return total;
}

void makeBackendBody(const std::string &body, const chat_request &request, std::string_view model,
                     std::int64_t maxTokens, body_segments &backendBody)
{
    backendBody.segments.clear();
    std::string_view rest(body);
    if (request.maxTokens == 0) {
        const std::size_t brace = rest.find('{');
        backendBody.maxTokensField = "\"max_tokens\":" + std::to_string(maxTokens) + ",";
        backendBody.segments.push_back(rest.substr(0, brace + 1));
        backendBody.segments.push_back(backendBody.maxTokensField);
        rest.remove_prefix(brace + 1);
    }
    if (!model.empty() && model != request.model) {
        backendBody.encodedModel = writeJson(Json::Value(std::string(model)));
        const std::size_t modelOffset =
            static_cast<std::size_t>(request.modelLiteral.data() - rest.data());
        backendBody.segments.push_back(rest.substr(0, modelOffset));
        backendBody.segments.push_back(backendBody.encodedModel);
        rest.remove_prefix(modelOffset + request.modelLiteral.size());
    }
    backendBody.segments.push_back(rest);
}

prefix_chain buildPrefixChain(const chat_request &request, std::string_view team)
{
    prefix_chain_builder builder(team, request.model);
    for (const std::string_view segment : request.prompt)
        builder.add(segment);
    return builder.finish();
}

} // namespace trefoil
