package sqlite

import "wingmount/internal/store"

// Find implements [group.BatchFinder].
func (s *backend) Find(ids []string) ([]error, error) {
	results := make([]error, len(ids))
	for i, id := range ids {
		response, err := s.findResponse(id)
		if err != nil {
			return nil, err
		}
		if response != nil {
			results[i] = &store.DuplicateError{Response: response}
			continue
		}
		unfinished, err := s.isUnfinished(id)
		if err != nil {
			return nil, err
		}
		if unfinished {
			results[i] = &store.DuplicateError{}
		}
	}
	return results, nil
}

// isUnfinished reports whether an unfinished message has the id.
func (s *backend) isUnfinished(id string) (bool, error) {
	st := s.st.findUnfinished
	if err := bind(st, id); err != nil {
		return false, err
	}
	found := st.Step()
	return found, st.Reset()
}
