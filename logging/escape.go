package logging

import (
	"fmt"
	"strconv"

	"dandelionrill.example/fleet/internal/headtext"
	"github.com/apex/log"
)

// escapingHandler quotes texts with control bytes, which would end a line of text or be taken for
// commands by a terminal. JSON lines need none of this.
type escapingHandler struct{ next log.Handler }

// HandleLog implements log.Handler.
func (h escapingHandler) HandleLog(e *log.Entry) error {
	escaped := *e
	escaped.Message = escape(e.Message)
	escaped.Fields = make(log.Fields, len(e.Fields))
	for name, value := range e.Fields {
		escaped.Fields[name] = escape(fmt.Sprint(value))
	}
	return h.next.HandleLog(&escaped)
}

func escape(text string) string {
	if headtext.HasControl(text) {
		return strconv.Quote(text)
	}
	return text
}
