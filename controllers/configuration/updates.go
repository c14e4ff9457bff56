package configuration

import (
	"sync"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/wire"
	"github.com/cockroachdb/errors"
)

// keptVersions is how many versions are kept as bases of deltas.
const keptVersions = 16

// updates makes and applies updates, and keeps the last versions for it. All
// methods may be called concurrently.
type updates struct {
	mu      sync.Mutex
	kept    []*config.Config // the last is the newest
	encoded map[uint64]wire.ConfigUpdate
}

// keep notes the version in force as a base of later deltas.
func (u *updates) keep(cfg *config.Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.kept); n > 0 && u.kept[n-1].Version >= cfg.Version {
		return
	}
	u.kept = append(u.kept, cfg)
	if len(u.kept) > keptVersions {
		u.kept = append([]*config.Config(nil), u.kept[1:]...)
	}
	u.encoded = make(map[uint64]wire.ConfigUpdate)
}

// after returns the update that leads from a version to the newest, nothing if
// the newest is not after it.
func (u *updates) after(version uint64) (wire.ConfigUpdate, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.kept) == 0 || u.kept[len(u.kept)-1].Version <= version {
		return wire.ConfigUpdate{}, nil
	}
	base := u.base(version)
	key := uint64(0)
	if base != nil {
		key = version
	}
	if update, ok := u.encoded[key]; ok {
		return update, nil
	}
	update, err := newUpdate(base, u.kept[len(u.kept)-1])
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	u.encoded[key] = update
	return update, nil
}

func (u *updates) base(version uint64) *config.Config {
	for _, cfg := range u.kept {
		if cfg.Version == version {
			return cfg
		}
	}
	return nil
}

// newUpdate encodes next, as a delta if base is not nil and that is smaller.
func newUpdate(base, next *config.Config) (wire.ConfigUpdate, error) {
	full, err := config.Encode(next)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	update := wire.ConfigUpdate{Version: next.Version, Encoded: full}
	if base == nil {
		return update, nil
	}
	delta, err := config.NewDelta(base, next)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	encoded, err := config.EncodeDelta(delta)
	if err != nil {
		return wire.ConfigUpdate{}, err
	}
	if len(encoded) < len(full) {
		update.Base, update.Encoded = base.Version, encoded
	}
	return update, nil
}

// decodeUpdate returns the configuration that an update leads to from the one
// in force. It returns config.ErrDelta if the update is a delta from another.
func decodeUpdate(update wire.ConfigUpdate, current *board.Adopted) (*config.Config, error) {
	cfg, err := decodeBody(update, current)
	if err != nil {
		return nil, err
	}
	if cfg.Version != update.Version {
		return nil, errors.Newf("configuration: update to %d carries version %d", update.Version, cfg.Version)
	}
	return cfg, nil
}

func decodeBody(update wire.ConfigUpdate, current *board.Adopted) (*config.Config, error) {
	if update.Base == 0 {
		return config.Decode(update.Encoded)
	}
	delta, err := config.DecodeDelta(update.Encoded)
	if err != nil {
		return nil, err
	}
	if current == nil || current.Config.Version != update.Base {
		return nil, errors.Wrapf(config.ErrDelta, "from %d", update.Base)
	}
	return delta.Apply(current.Config)
}
