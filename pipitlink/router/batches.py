__all__ = ["Batches"]


class Batches:
    def _open_batches(self):
        pass

    async def _end_batches(self):
        pass

    def batch_metrics(self):
        return {}
