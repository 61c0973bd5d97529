package wire

import "fmt"

// The types below have those fields of a message as pointers of which a missing one could not be
// distinguished from a valid zero value. Keys that exist, leases and their revisions are never 0.

type keyValuePageFields struct {
	KeyValuePage
	HasMore  *bool   `cbor:"hasNext"`
	Revision *uint64 `cbor:"ledgerMark"`
}

type txnResponseFields struct {
	TxnResponse
	Revision *uint64 `cbor:"ledgerMark"`
}

type watchResponseFields struct {
	WatchResponse
	Revision *uint64 `cbor:"ledgerMark"`
}

// DecodeMessage decodes a key and its value. It returns a *ValidationError if a field other than the
// lease is missing.
func (kv *KeyValue) DecodeMessage(encoded []byte) error {
	if err := DecodeFields(encoded, kv); err != nil {
		return err
	}
	return kv.checkRequired()
}

func (kv *KeyValue) checkRequired() error {
	return CheckRequired(
		RequiredField{Name: "key", Present: kv.Key != ""},
		RequiredField{Name: "value", Present: kv.Value != nil},
		RequiredField{Name: "stamp", Present: kv.Revision != 0},
	)
}

// DecodeMessage decodes a page of keys. It returns a *ValidationError if a field is missing: a page
// without its list is not an empty page, and one that does not say so is not the last.
func (p *KeyValuePage) DecodeMessage(encoded []byte) error {
	var fields keyValuePageFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(
		RequiredField{Name: "rows", Present: fields.Items != nil},
		RequiredField{Name: "hasNext", Present: fields.HasMore != nil},
		RequiredField{Name: "ledgerMark", Present: fields.Revision != nil},
	); err != nil {
		return err
	}
	for i := range fields.Items {
		if err := fields.Items[i].checkRequired(); err != nil {
			return fmt.Errorf("rows[%d]: %w", i, err)
		}
	}
	*p = KeyValuePage{Items: fields.Items, HasMore: *fields.HasMore, Revision: *fields.Revision}
	return nil
}

// DecodeMessage decodes the response to a transaction. It returns a *ValidationError if the revision is
// missing.
func (r *TxnResponse) DecodeMessage(encoded []byte) error {
	var fields txnResponseFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(RequiredField{Name: "ledgerMark", Present: fields.Revision != nil}); err != nil {
		return err
	}
	*r = TxnResponse{Revision: *fields.Revision, Failed: fields.Failed}
	return nil
}

// CheckConflict returns a *ValidationError if the response lacks the list of keys that a response must
// have whose status shows a conflict.
func (r *TxnResponse) CheckConflict() error {
	return CheckRequired(RequiredField{Name: "failed", Present: len(r.Failed) > 0})
}

// DecodeMessage decodes a granted lease. It returns a *ValidationError if the lease's ID is missing.
func (r *LeaseResponse) DecodeMessage(encoded []byte) error {
	if err := DecodeFields(encoded, r); err != nil {
		return err
	}
	return CheckRequired(RequiredField{Name: "hold", Present: r.LeaseID != 0})
}

// DecodeMessage decodes the response to a watch. It returns a *ValidationError if a field is missing: a
// response without its list does not show that nothing has changed.
func (r *WatchResponse) DecodeMessage(encoded []byte) error {
	var fields watchResponseFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(
		RequiredField{Name: "ledgerMark", Present: fields.Revision != nil},
		RequiredField{Name: "news", Present: fields.Events != nil},
	); err != nil {
		return err
	}
	for i := range fields.Events {
		if err := fields.Events[i].checkRequired(); err != nil {
			return fmt.Errorf("news[%d]: %w", i, err)
		}
	}
	*r = WatchResponse{Revision: *fields.Revision, Events: fields.Events}
	return nil
}

func (e *Event) checkRequired() error {
	return CheckRequired(
		RequiredField{Name: "put", Present: e.Put != "" || e.Delete != ""},
		RequiredField{Name: "value", Present: e.Put == "" || e.Value != nil},
		RequiredField{Name: "stamp", Present: e.Revision != 0},
	)
}
