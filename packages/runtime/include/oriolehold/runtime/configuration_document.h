#pragma once

#include "oriolehold/core/configuration.h"

#include <boost/leaf.hpp>

#include <cstddef>
#include <string>
#include <string_view>

// The published configuration as JSON (docs/configuration.md).

namespace oriolehold::runtime {

// Largest document in bytes; the platform stores values of up to 1 MB.
inline constexpr std::size_t maxDocumentSize = std::size_t { 1024 } * 1024;

// LEAF error object that describes the first invalid value of a document.
struct document_error
{
    std::string path;     // for example "services[0].id"; empty for the document as a whole
    std::string expected; // what a valid value is
};

// Parses and validates a whole document. Fails with a document_error; does not throw.
boost::leaf::result<core::configuration_content> parseDocument(std::string_view json);

// Serialises the content as JSON. parseDocument() of the result returns an equal content.
std::string renderDocument(const core::configuration_content &content);

} // namespace oriolehold::runtime
