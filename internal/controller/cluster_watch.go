package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ambersill/internal/kvstore"
	"ambersill/internal/transport"
	"ambersill/internal/wire"
)

const (
	// watchTimeout is how long one watch request stays open.
	watchTimeout = 20 * time.Second
	// listRetryDelay is the pause after a failed listing. It is longer than watchRetryDelay,
	// since a listing is a large request.
	listRetryDelay = 500 * time.Millisecond
	// watchRetryDelay is the pause after a failed watch request. It is short, since decisions
	// are based on outdated keys in the meantime.
	watchRetryDelay = 300 * time.Millisecond
)

// watchHandler contains the callbacks of a watch of a key prefix. They are called from the
// watching goroutine, one at a time.
type watchHandler struct {
	// onListing receives all keys of the prefix as of a revision. Only watchPrefix calls it.
	onListing func(items []wire.KeyValue, revision uint64)
	// onEvent receives one change.
	onEvent func(event wire.Event)
	// onRevision, if not nil, receives the revision up to which all changes were delivered.
	onRevision func(revision uint64)
}

// watchPrefix lists the keys of a prefix and then watches their changes until the context
// ends. It lists the keys again whenever the key-value store has compacted changes before they
// could be read.
func watchPrefix(ctx context.Context, store *kvstore.Client, prefix string, handler watchHandler) {
	for ctx.Err() == nil {
		items, revision, err := store.List(ctx, prefix)
		if err != nil {
			slog.Debug("listing keys failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, listRetryDelay)
			continue
		}
		handler.onListing(items, revision)
		watchPrefixFrom(ctx, store, prefix, revision, handler)
	}
}

// watchPrefixFrom watches the changes of a prefix after a revision. It returns when the
// context ends, or when the key-value store has compacted the next changes.
func watchPrefixFrom(
	ctx context.Context, store *kvstore.Client, prefix string, revision uint64, handler watchHandler,
) {
	for ctx.Err() == nil {
		response, err := store.Watch(ctx, prefix, revision, watchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			return
		}
		if err != nil {
			slog.Debug("watching keys failed", "prefix", prefix, "err", err)
			transport.Pause(ctx, watchRetryDelay)
			continue
		}
		for _, event := range sortEvents(response.Events) {
			handler.onEvent(event)
		}
		revision = max(revision, response.Revision)
		if handler.onRevision != nil {
			handler.onRevision(revision)
		}
	}
}
