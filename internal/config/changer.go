package config

import (
	"context"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// prepare writes the documents that the new root will reference and returns the digest of its tree.
type prepare func(ctx context.Context, root rootRecord) (digest string, err error)

// changer makes one change of the root on top of a base version.
type changer struct {
	store *Store
	base  uint64
	id    string
	// maybeWritten reports whether a write of the root may have taken effect.
	maybeWritten bool
}

// run retries after temporary errors until the change has succeeded or failed, or ctx ends.
func (c *changer) run(ctx context.Context, prepare prepare) (Change, error) {
	for try := 0; ; try++ {
		change, err := c.try(ctx, prepare)
		if err == nil || !temporary(err) {
			return change, err
		}
		if !pause(ctx, try) {
			return Change{}, c.undecided(err)
		}
	}
}

func temporary(err error) bool {
	return errorx.IsOfType(err, ErrUnavailable) || errorx.IsOfType(err, ErrOutcomeUnknown)
}

// undecided returns the error for a change that was still undecided when ctx ended.
func (c *changer) undecided(err error) error {
	if c.maybeWritten {
		return ErrOutcomeUnknown.Wrap(err, "change %q may take effect", c.id)
	}
	return ErrUnavailable.Wrap(err, "change %q was not made", c.id)
}

func (c *changer) try(ctx context.Context, prepare prepare) (Change, error) {
	root, err := c.store.rootOrNew(ctx)
	if err != nil {
		return Change{}, err
	}
	if change, decided, err := c.decide(root); decided {
		return change, err
	}
	digest, err := prepare(ctx, root)
	if err != nil {
		return Change{}, err
	}
	return c.swap(ctx, root, root.next(digest, c.id))
}

// decide derives from the root whether this change was made or lost against another one on the same base
// version: the change in the root's list that follows base is the one that succeeded. It returns false while
// the root is still at the base version.
func (c *changer) decide(root rootRecord) (Change, bool, error) {
	if change, ok := root.byID(c.id); ok {
		return change, true, nil
	}
	if root.Version == c.base {
		return Change{}, false, nil
	}
	if root.Version < c.base {
		return Change{}, true, ErrRaceLost.New("base version %d is above the current version %d", c.base, root.Version)
	}
	if _, ok := root.byVersion(c.base + 1); !ok && c.maybeWritten {
		return Change{}, true, ErrOutcomeUnknown.New("change %q on version %d may have been made: its version is no longer among the last %d versions", c.id, c.base, keptVersions)
	}
	return Change{}, true, ErrRaceLost.New("version %d was made on top of version %d; version %d is current", c.base+1, c.base, root.Version)
}

// swap writes the root by compare-and-swap on the revision that was read. So a copy of the write that
// arrives late cannot take effect on top of another change.
func (c *changer) swap(ctx context.Context, root rootRecord, next Root) (Change, error) {
	value, err := next.encode()
	if err != nil {
		return Change{}, err
	}
	result, err := c.store.kv.CompareAndSwap(ctx, metastore.Swap{
		Key:    rootKey,
		Expect: root.revision,
		Value:  value,
	})
	if err != nil {
		err = fromPlatform(err, "root cannot be written")
		c.maybeWritten = c.maybeWritten || errorx.IsOfType(err, ErrOutcomeUnknown)
		return Change{}, err
	}
	if result.Swapped {
		c.store.collect(ctx, root.Root, rootRecord{Root: next, revision: result.Revision})
		return next.Changes[len(next.Changes)-1], nil
	}
	current, err := decodeRoot(result.Current)
	if err != nil {
		return Change{}, err
	}
	change, decided, err := c.decide(current)
	if !decided {
		return Change{}, ErrUnavailable.New("root changed without a new version")
	}
	return change, err
}
