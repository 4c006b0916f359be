#include "oriolehold/runtime/configuration_acceptor.h"

#include <memory>
#include <utility>

namespace oriolehold::runtime {

core::generation_number configuration_acceptor::generation() const
{
    return m_current ? m_current->generation() : 0;
}

offer_result configuration_acceptor::offer(std::string_view json)
{
    if (m_current && json == m_document)
        return offer_result::unchanged;
    auto content = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<core::configuration_content>> {
                BOOST_LEAF_AUTO(parsed, parseDocument(json));
                return std::optional(std::move(parsed));
            },
            [&](const document_error &error) -> std::optional<core::configuration_content> {
                m_error = error;
                return std::nullopt;
            },
            [&]() -> std::optional<core::configuration_content> {
                m_error = { "", "a valid document" };
                return std::nullopt;
            });
    if (!content)
        return offer_result::invalid;
    m_offeredGeneration = content->generation;
    if (m_current && content->generation < m_current->generation())
        return offer_result::older;
    if (m_current && content->generation == m_current->generation())
        return *content == m_current->content() ? offer_result::unchanged
                                                : offer_result::conflicting;
    m_current = std::make_shared<const core::configuration>(std::move(*content));
    m_document = json;
    return offer_result::accepted;
}

} // namespace oriolehold::runtime
