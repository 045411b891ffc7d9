#include "CorruptedJson.h"

#include <nlohmann/json.hpp>

namespace sequoiagate {

namespace {

using Json = nlohmann::json;

constexpr const char *CorruptValues[] = {"null",
                                         "true",
                                         "-1",
                                         "0",
                                         "0.5",
                                         "4294967296",
                                         "1e15",
                                         "1e300",
                                         "1e400",
                                         "9223372036854775807",
                                         "-9223372036854775808",
                                         "18446744073709551615",
                                         "18446744073709551616",
                                         "\"\"",
                                         "\"x\"",
                                         "\"127.0.0.1:99999\"",
                                         "\"127.0.0.1:-1\"",
                                         "\"\xff\xfe\"",
                                         "[]",
                                         "{}",
                                         "[[[1]]]",
                                         "[null,-1,\"x\"]",
                                         "{\"a\":{\"b\":[{}]}}"};

/// Text that no document holds, that is replaced by a corrupt value.
constexpr const char *Mark = "a-value-to-replace";

void addPointers(const Json &value, const Json::json_pointer &at,
                 std::vector<Json::json_pointer> &pointers)
{
    pointers.push_back(at);
    if (!value.is_structured()) {
        return;
    }
    for (const auto &item : value.items()) {
        const auto next = value.is_array() ? at / static_cast<std::size_t>(std::stoul(item.key()))
                                           : at / item.key();
        addPointers(item.value(), next, pointers);
    }
}

} // namespace

std::vector<std::string> corruptedCopies(const std::string &document)
{
    const Json sound = Json::parse(document);
    std::vector<Json::json_pointer> pointers;
    addPointers(sound, Json::json_pointer(), pointers);
    const std::string quotedMark = Json(Mark).dump();
    std::vector<std::string> copies;
    for (const Json::json_pointer &pointer : pointers) {
        Json marked = sound;
        marked[pointer] = Mark;
        const std::string text = marked.dump();
        for (const char *value : CorruptValues) {
            std::string copy = text;
            copy.replace(copy.find(quotedMark), quotedMark.size(), value);
            copies.push_back(std::move(copy));
        }
    }
    return copies;
}

} // namespace sequoiagate
