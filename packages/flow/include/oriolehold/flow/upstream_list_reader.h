#pragma once

#include "oriolehold/flow/routing_view.h"

#include <functional>
#include <map>

// Reads the list of upstreams from the store in pages, or follows it by its changes while entries
// that describe no upstream take most of it. The entries of other writers may be many and large, so
// a read is cut into parts and the configuration can be read between these.

namespace oriolehold::flow {

// An entry of the list, or a change of one.
struct published_entry
{
    std::string id;
    std::uint64_t revision = 0;            // of its last change; 0: unknown
    std::size_t size = 0;                  // of its text in the answer, in bytes
    bool removed = false;                  // only in changes
    std::optional<upstream_record> record; // empty when it describes no usable upstream
    std::string fault;                     // why not
};

struct entry_page
{
    store_revision revision; // at the time of the read
    std::vector<published_entry> entries;
    std::string next; // where the next page begins; empty after the last one
};

struct entry_changes
{
    store_revision revision;              // the changes are known up to here
    std::vector<published_entry> entries; // oldest first
    std::size_t size = 0;                 // of the answer, in bytes
};

// Reads entries of the list. Calls may block up to their own time limits and fail with a
// read_failure.
class entry_source
{
public:
    virtual ~entry_source() = default;
    // Reads the page that begins at the position that the page before it has as next; the first
    // one for an empty position.
    virtual boost::leaf::result<entry_page> readPage(const std::string &position) = 0;
    // Returns an empty optional when the changes after the revision are not known any more.
    virtual boost::leaf::result<std::optional<entry_changes>>
    readChanges(std::uint64_t afterRevision) = 0;
};

// Is notified of entries that are not used.
class rejection_listener
{
public:
    virtual ~rejection_listener() = default;
    // Called once for each revision of the entry.
    virtual void entryRejected(const published_entry &entry) = 0;
};

class upstream_list_reader
{
public:
    // Rejected entries above this size are not read again and again; bytes of their texts.
    static constexpr std::size_t maxRepeatedRejections = std::size_t { 64 } * 1024;
    // A read that takes longer is continued by the next call.
    static constexpr std::chrono::milliseconds maxPartTime { 500 };
    // While the list is followed by its changes it is also read in full, because a watch of a store
    // that lost its history may miss some: at this interval, and at most for this share of time.
    static constexpr std::chrono::seconds minFullReadInterval { 10 };
    static constexpr int fullReadIntervalFactor = 500; // times the length of the last full read
    // A store may cut an answer with many or large changes. After an answer of this size, in bytes,
    // the changes after it are read before the list counts as one of the present.
    static constexpr std::size_t largeAnswer = std::size_t { 256 } * 1024;
    // Rejected entries that are reported by one call; the others follow with the next ones.
    static constexpr std::size_t maxReportsPerRead = 20;

    using clock = std::function<base::time_point()>;

    // The references must outlive the object.
    upstream_list_reader(entry_source &source, rejection_listener &listener, clock now);

    // Fails with a read_failure; with read_failure::incomplete when the next call continues the
    // read.
    boost::leaf::result<upstream_list> read();

    // Rejected entries in the list.
    std::size_t rejectedEntries() const { return m_rejectedEntries; }
    // Revisions of entries that were rejected, since the start.
    std::uint64_t rejections() const { return m_rejections; }

private:
    struct known_entry
    {
        published_entry published;
        base::time_point readAt {};
    };
    using entry_map = std::map<std::string, known_entry>; // by ID

    static void apply(entry_map &entries, std::vector<published_entry> changes,
                      base::time_point now);
    // Applies the changes since the last call to the entries. Returns false when they are not
    // known, and fails with read_failure::incomplete when there are more than fit maxPartTime.
    boost::leaf::result<bool> followChanges(entry_map &entries, store_revision &revision);
    // Follows the changes of the list. Returns false when they cannot be read or are not known, and
    // an empty optional when more of them are to be read.
    std::optional<bool> changesKnown(entry_map &entries, store_revision &revision);
    // Reads a part of the list in full beside the changes, if that is due.
    void repeatFullRead();
    void beginFullRead();
    // Reads pages until the list is complete or maxPartTime has passed; then returns false.
    boost::leaf::result<bool> continueFullRead();
    void endFullRead();
    void finishRead();
    void reportRejections();
    upstream_list list() const;

    entry_source &m_source;
    rejection_listener &m_listener;
    const clock m_now;

    entry_map m_entries; // of the last complete list
    store_revision m_revision;
    bool m_followsChanges = false;
    base::time_point m_fullReadAt {}; // end of the last one
    base::duration m_fullReadLength {};

    bool m_fullReadBegun = false;
    bool m_hasFirstPage = false;
    entry_map m_pending; // of the full read in progress
    store_revision m_pendingRevision;
    std::string m_position; // of the next page
    base::time_point m_fullReadBegunAt {};

    std::map<std::string, std::uint64_t> m_reported; // revisions of rejected entries, by ID
    std::size_t m_rejectedEntries = 0;
    std::uint64_t m_rejections = 0;
};

} // namespace oriolehold::flow
