package emulator

import (
	"encoding/json"
	"fmt"

	"ambersill/internal/config"
	"ambersill/internal/wire"

	"golang.org/x/time/rate"
)

const (
	// comparesPerWrite is how many compares a transaction may have for each write that the limit
	// MaxTxnWrites allows. The protocol states this ratio.
	comparesPerWrite = 4
	bytesPerKiB      = 1024
)

// limits are the key-value store's limits on transactions: on their size and on the rate of
// writes.
type limits struct {
	config.StoreLimits
	writeLimiter *rate.Limiter
}

// Limit sets the limits for future transactions. Stored values are kept, even if they are over
// the new limits.
func (s *KeyValueStore) Limit(newLimits config.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits{
		StoreLimits:  newLimits,
		writeLimiter: rate.NewLimiter(rate.Limit(newLimits.WritesPerS), int(newLimits.WritesPerS)),
	}
}

// InvalidReasons returns, for each transaction so far that exceeded a size limit and was answered
// with status 400, which limit it exceeded.
func (s *KeyValueStore) InvalidReasons() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.invalidReasons...)
}

// exceededLimit describes the first size limit that a transaction exceeds; "" if it exceeds none.
func (l *limits) exceededLimit(txn *rawTxn) string {
	if len(txn.Writes) > l.MaxTxnWrites {
		return fmt.Sprintf("%d changes in a transaction", len(txn.Writes))
	}
	if len(txn.Compares) > comparesPerWrite*l.MaxTxnWrites {
		return fmt.Sprintf("%d conditions in a transaction", len(txn.Compares))
	}
	for _, write := range txn.Writes {
		size, err := JSONSize(write.Value)
		if err != nil {
			continue // a delete, or a value that cannot be converted to JSON
		}
		if size > int(l.MaxValueKiB*bytesPerKiB) {
			return fmt.Sprintf("%d bytes in %s", size, write.Put)
		}
	}
	return ""
}

// JSONSize returns the length of an encoded value in bytes after conversion to JSON. The store's
// limit on the size of values applies to this length.
func JSONSize(raw wire.Raw) (int, error) {
	var decoded any
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		return 0, fmt.Errorf("decoding the CBOR value: %w", err)
	}
	encoded, err := json.Marshal(withStringKeys(decoded))
	if err != nil {
		return 0, fmt.Errorf("encoding the value as JSON: %w", err)
	}
	return len(encoded), nil
}

// withStringKeys returns a decoded value in which all map keys are converted to strings, because
// JSON allows no other keys. It changes lists in place.
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
