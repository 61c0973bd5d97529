package emulator

import (
	"encoding/json"
	"fmt"

	"ambersill/internal/config"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

const (
	// comparesPerWrite is how many compares are allowed for each write, by the protocol.
	comparesPerWrite = 4
	bytesPerKiB      = 1024
)

// limits are the key-value store's limits on what is written.
type limits struct {
	config.StoreLimits
	changes *rate.Limiter
}

// Limit sets the limits on what is written from now on; what is stored stays.
func (s *KeyValueStore) Limit(l config.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits{
		StoreLimits: l,
		changes:     rate.NewLimiter(rate.Limit(l.WritesPerS), int(l.WritesPerS)),
	}
}

// Invalid lists why requests were answered 400 so far.
func (s *KeyValueStore) Invalid() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.invalidReasons...)
}

// exceeded names the limit of size that a transaction exceeds; "" if none.
func (l *limits) exceeded(txn *rawTxn) string {
	if len(txn.Writes) > l.MaxTxnWrites {
		return fmt.Sprintf("%d changes in a transaction", len(txn.Writes))
	}
	if len(txn.Compares) > comparesPerWrite*l.MaxTxnWrites {
		return fmt.Sprintf("%d conditions in a transaction", len(txn.Compares))
	}
	for _, write := range txn.Writes {
		size, err := JSONSize(write.Value)
		if err != nil {
			continue // a delete, or no value that the store would have to measure
		}
		if size > int(l.MaxValueKiB*bytesPerKiB) {
			return fmt.Sprintf("%d bytes in %s", size, write.Put)
		}
	}
	return ""
}

// JSONSize returns the size of an encoded value as the protocol measures it: in bytes, as JSON.
func JSONSize(raw wire.Raw) (int, error) {
	var decoded any
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		return 0, fmt.Errorf("decoding the value: %w", err)
	}
	text, err := json.Marshal(withStringKeys(decoded))
	if err != nil {
		return 0, fmt.Errorf("encoding the value as JSON: %w", err)
	}
	return len(text), nil
}

// withStringKeys returns a decoded value with the keys of its maps as strings, the only ones
// that JSON has.
func withStringKeys(value any) any {
	switch value := value.(type) {
	case map[any]any:
		converted := map[string]any{}
		for key, element := range value {
			converted[fmt.Sprint(key)] = withStringKeys(element)
		}
		return converted
	case []any:
		for i := range value {
			value[i] = withStringKeys(value[i])
		}
	}
	return value
}
