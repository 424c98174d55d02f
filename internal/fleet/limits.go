package fleet

import "go.uber.org/zap"

// logLimit logs that a server states another limit of requests than before, or none.
func (f *Fleet) logLimit(server, source string) {
	perSecond, stated := f.dispatcher.Limit(server)
	f.Log.Info(EventServerLimit, zap.String("server", server), zap.Bool("limited", stated), zap.Float64("per_second", perSecond),
		zap.String("source", source))
}
