// The workers of a cell, by id and in the order of their ids. Placement breaks ties between workers of equal
// score by that order.
#pragma once

#include "jobs/jobs.h"

#include <algorithm>

namespace camphorwell {

// `state` must have the members `info.id` and `position`, its index in `all`, which the table maintains.
template <typename state> class worker_table {
public:
    state* find(const worker_id& id) const
    {
        auto found = m_byId.find(id);
        return found == m_byId.end() ? nullptr : found->second.get();
    }

    // Adds a worker, whose id must be new.
    state& add(std::unique_ptr<state> added)
    {
        auto at = std::lower_bound(m_all.begin(), m_all.end(), added->info.id,
            [](const state* worker, const worker_id& id) { return worker->info.id < id; });
        m_all.insert(at, added.get());
        updatePositions();
        worker_id id = added->info.id;
        return *m_byId.emplace(std::move(id), std::move(added)).first->second;
    }

    // Removes the workers for which the predicate holds.
    template <typename predicate> void eraseIf(predicate&& shouldErase)
    {
        size_t before = m_all.size();
        std::erase_if(m_all,
            [&](state* worker) { return shouldErase(*worker) && m_byId.erase(worker_id(worker->info.id)); });
        if (m_all.size() != before)
            updatePositions();
    }

    const std::vector<state*>& all() const { return m_all; }
    size_t size() const { return m_all.size(); }

private:
    void updatePositions()
    {
        for (size_t i = 0; i < m_all.size(); i++)
            m_all[i]->position = i;
    }
    std::unordered_map<worker_id, std::unique_ptr<state>> m_byId;
    std::vector<state*> m_all; // All workers, sorted by id.
};

} // namespace camphorwell
