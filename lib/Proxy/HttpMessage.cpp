#include "sequoiagate/Proxy/HttpMessage.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>

namespace sequoiagate {

namespace {

constexpr std::array<std::string_view, 9> HopByHop = {
        "Connection",        "Keep-Alive",     "Proxy-Connection",   "TE", "Trailer", "Upgrade",
        "Transfer-Encoding", "Content-Length", "Proxy-Authorization"};

struct Phrase
{
    int status;
    std::string_view text;
};

constexpr std::array Phrases = {
        Phrase{200, "OK"},
        Phrase{400, "Bad Request"},
        Phrase{401, "Unauthorized"},
        Phrase{402, "Payment Required"},
        Phrase{403, "Forbidden"},
        Phrase{404, "Not Found"},
        Phrase{408, "Request Timeout"},
        Phrase{413, "Content Too Large"},
        Phrase{421, "Misdirected Request"},
        Phrase{429, "Too Many Requests"},
        Phrase{431, "Request Header Fields Too Large"},
        Phrase{500, "Internal Server Error"},
        Phrase{501, "Not Implemented"},
        Phrase{502, "Bad Gateway"},
        Phrase{503, "Service Unavailable"},
        Phrase{504, "Gateway Timeout"},
};

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

void appendFields(std::string &text, const HttpFields &fields)
{
    for (const HttpField &field : fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

} // namespace

bool sameFieldName(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(view(a), view(b));
}

const std::string *findField(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (sameFieldName(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

bool isHopByHop(std::string_view name, const HttpFields &fields)
{
    const auto isName = [name](std::string_view known) {
        return sameFieldName(known, name);
    };
    if (std::any_of(HopByHop.begin(), HopByHop.end(), isName)) {
        return true;
    }
    const std::string *connection = findField(fields, "Connection");
    if (connection == nullptr) {
        return false;
    }
    for (const absl::string_view token : absl::StrSplit(*connection, ',')) {
        const absl::string_view word = absl::StripAsciiWhitespace(token);
        if (sameFieldName({word.data(), word.size()}, name)) {
            return true;
        }
    }
    return false;
}

bool isInterimStatus(int status)
{
    constexpr int SwitchingProtocols = 101;
    return status >= 100 && status < 200 && status != SwitchingProtocols;
}

bool isFinalStatus(int status)
{
    return status >= 200 && status < 600;
}

std::string_view reasonPhrase(int status)
{
    const auto *found = std::find_if(Phrases.begin(), Phrases.end(),
                                     [status](const Phrase &p) { return p.status == status; });
    return found == Phrases.end() ? std::string_view("Unknown") : found->text;
}

std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes)
{
    std::string text;
    text.reserve(512);
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendFields(text, head.fields);
    const bool framed = bodyBytes > 0 || (head.method != "GET" && head.method != "DELETE");
    if (framed) {
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    }
    text += "\r\n";
    return text;
}

std::string writeResponseHead(const ResponseHead &head, BodyFraming framing, std::size_t bodyBytes)
{
    std::string text;
    text.reserve(512);
    const std::string_view reason =
            head.reason.empty() ? reasonPhrase(head.status) : std::string_view{head.reason};
    text += fmt::format("HTTP/1.1 {} {}\r\n", head.status, reason);
    appendFields(text, head.fields);
    if (framing == BodyFraming::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (framing == BodyFraming::Length) {
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    }
    if (!head.keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

std::string writeChunk(std::string_view data)
{
    std::string text = fmt::format("{:x}\r\n", data.size());
    text.append(data).append("\r\n");
    return text;
}

} // namespace sequoiagate
