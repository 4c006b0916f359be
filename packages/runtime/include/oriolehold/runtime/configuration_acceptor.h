#pragma once

#include "oriolehold/core/configuration.h"
#include "oriolehold/runtime/configuration_document.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolehold::runtime {

enum class offer_result : std::uint8_t {
    accepted,    // a new generation is in effect
    unchanged,   // equal to the document in effect
    older,       // a lower generation; not applied
    conflicting, // the generation in effect with different content; not applied
    invalid,     // not a valid document; not applied
};

// Holds the configuration in effect and replaces it by each valid document of a higher generation.
class configuration_acceptor
{
public:
    // Parses the document and applies it if it is valid and has a higher generation.
    offer_result offer(std::string_view json);

    core::configuration_pointer current() const { return m_current; } // nullptr before the first
    core::generation_number generation() const;                       // 0 before the first
    const std::string &document() const { return m_document; } // text of the document in effect
    // Error of the last invalid document.
    const document_error &error() const { return m_error; }
    // Generation of the last valid document that was offered.
    core::generation_number offeredGeneration() const { return m_offeredGeneration; }

private:
    core::configuration_pointer m_current;
    std::string m_document;
    document_error m_error;
    core::generation_number m_offeredGeneration = 0;
};

} // namespace oriolehold::runtime
