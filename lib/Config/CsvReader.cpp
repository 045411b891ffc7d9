#include "CsvReader.h"

#include <memory>

#include <csv.h>

namespace sequoiagate {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/// The length of the well-formed UTF-8 sequence at the front of \p text; 0: none.
/// Overlong forms, surrogates and what lies beyond U+10FFFF are refused (RFC 3629).
std::size_t utf8Length(std::string_view text)
{
    const auto byteAt = [text](std::size_t index) {
        return index < text.size() ? static_cast<unsigned char>(text[index]) : 0U;
    };
    const unsigned lead = byteAt(0);
    if (lead < 0x80) {
        return 1;
    }
    const unsigned second = byteAt(1);
    std::size_t length = 0;
    unsigned lowest = 0x80;
    unsigned highest = 0xBF;
    if (lead >= 0xC2 && lead <= 0xDF) {
        length = 2;
    } else if (lead >= 0xE0 && lead <= 0xEF) {
        length = 3;
        lowest = lead == 0xE0 ? 0xA0 : lowest;
        highest = lead == 0xED ? 0x9F : highest;
    } else if (lead >= 0xF0 && lead <= 0xF4) {
        length = 4;
        lowest = lead == 0xF0 ? 0x90 : lowest;
        highest = lead == 0xF4 ? 0x8F : highest;
    }
    if (length == 0 || second < lowest || second > highest) {
        return 0;
    }
    for (std::size_t index = 2; index < length; ++index) {
        if ((byteAt(index) & 0xC0U) != 0x80) {
            return 0;
        }
    }
    return length;
}

bool validUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8Length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

bool hasControlCharacter(std::string_view text)
{
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7F) {
            return true;
        }
    }
    return false;
}

/// libcsv's parser, fed one byte at a time, since only so is it known on which line
/// a row begins.
class Splitter
{
public:
    Splitter() { start(); }
    ~Splitter() { csv_free(&parser_); }
    Splitter(const Splitter &) = delete;
    Splitter &operator=(const Splitter &) = delete;

    void feed(char byte)
    {
        const bool lineEnd = byte == '\n';
        if (skipping_) {
            skipping_ = !lineEnd;
        } else {
            take(byte);
        }
        line_ += lineEnd ? 1 : 0;
    }

    CsvText finish()
    {
        if (!skipping_ && csv_fini(&parser_, &Splitter::onField, &Splitter::onRow, this) != 0) {
            fault(row_.line, "a quoted field isn't closed: the file is cut off");
        }
        return std::move(text_);
    }

private:
    void start()
    {
        csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI);
        row_ = CsvRow{};
    }

    void take(char byte)
    {
        if (row_.line == 0 && byte != '\n' && byte != '\r') {
            row_.line = line_;
        }
        if (csv_parse(&parser_, &byte, 1, &Splitter::onField, &Splitter::onRow, this) == 1) {
            return;
        }
        fault(row_.line, "a quote stands inside a field that isn't quoted, or behind its end");
        csv_free(&parser_);
        start();
        skipping_ = byte != '\n';
    }

    void fault(std::size_t line, std::string reason)
    {
        text_.faults.push_back({line, {}, std::move(reason)});
    }

    static void onField(void *bytes, std::size_t size, void *self)
    {
        auto *splitter = static_cast<Splitter *>(self);
        splitter->row_.fields.emplace_back(static_cast<const char *>(bytes), size);
    }

    static void onRow(int /*end*/, void *self)
    {
        auto *splitter = static_cast<Splitter *>(self);
        splitter->checkText();
        splitter->text_.rows.push_back(std::move(splitter->row_));
        splitter->row_ = CsvRow{};
    }

    void checkText()
    {
        for (const std::string &field : row_.fields) {
            if (!validUtf8(field)) {
                fault(row_.line, "the text isn't valid UTF-8");
                return;
            }
            if (hasControlCharacter(field)) {
                fault(row_.line, "a field holds a line end or another control character");
                return;
            }
        }
    }

    csv_parser parser_{};
    CsvText text_;
    CsvRow row_;
    std::size_t line_ = 1;
    bool skipping_ = false;
};

std::size_t lineOf(std::string_view bytes, std::size_t position)
{
    std::size_t line = 1;
    for (const char byte : bytes.substr(0, position)) {
        line += byte == '\n' ? 1 : 0;
    }
    return line;
}

} // namespace

CsvText readCsv(std::string_view bytes)
{
    if (bytes.substr(0, ByteOrderMark.size()) == ByteOrderMark) {
        bytes.remove_prefix(ByteOrderMark.size());
    }
    // A NUL ends a string in many a program: what follows it would be seen by some and
    // not by others. Spreadsheets write them when they export UTF-16.
    if (const std::size_t nul = bytes.find('\0'); nul != std::string_view::npos) {
        CsvText refused;
        refused.faults.push_back(
                {lineOf(bytes, nul), {}, "a NUL byte: the file must be UTF-8 text"});
        return refused;
    }
    Splitter splitter;
    for (const char byte : bytes) {
        splitter.feed(byte);
    }
    return splitter.finish();
}

} // namespace sequoiagate
