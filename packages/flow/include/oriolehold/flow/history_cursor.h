#pragma once

#include "oriolehold/flow/routing_view.h"

#include <optional>

namespace oriolehold::flow {

// Position in the history of the store up to which a reader knows all changes of a document. It
// lets the reader watch for changes instead of reading the document again.
class history_cursor
{
public:
    // Revision after which a watch reports all changes that the reader does not know. Empty when
    // the document must be read in full.
    std::optional<std::uint64_t> watchAfter() const;
    // The document was read in full at this revision of the store.
    void documentRead(store_revision revision);
    // A watch reported no change up to this revision of the store. Returns false when that does not
    // prove that the document is unchanged, so that it must be read in full.
    bool unchangedUntil(store_revision revision);

private:
    std::optional<store_revision> m_position;
};

} // namespace oriolehold::flow
