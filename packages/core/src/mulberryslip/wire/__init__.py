__all__ = ['ttypes', 'constants', 'WorkerService', 'EntryService', 'PoolService']
