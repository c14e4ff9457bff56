package load

import (
	"context"

	"dandelionrill.example/fleet/link"
)

// PoolCaller implements Caller over the connections of a link.Pool.
type PoolCaller struct {
	Pool *link.Pool
}

// Call implements Caller.
func (p PoolCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.Pool.Client(address)
	if err != nil {
		return err
	}
	return client.Call(ctx, method, args, reply)
}
